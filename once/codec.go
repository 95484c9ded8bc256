package once

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Format of a record, version 1. Integers are unsigned varints unless a size is given.
//
//	format 1 byte
//	number of sealed records, then for each: version minus that of the previous one, last creation
//	  time in seconds minus that of the previous one (signed)
//	number of claims, then for each: flags 1 byte, key, request ID, fingerprint 8 bytes, creation
//	  time in milliseconds minus that of the previous claim (signed); if complete: status,
//	  content type, body
//	xxhash64 of all the above, 8 bytes
//
// Strings are a length and bytes. A key or request ID that is a UUID in canonical form is 16 bytes.
const formatVersion = 1

// recordOverhead is an upper bound of the size of a record without claims and segments, in bytes. It
// includes the version and time of the first segment, which are not differences.
const recordOverhead = 1 + 4*binary.MaxVarintLen64 + 8

const (
	flagComplete = 1 << iota
	flagKeyUUID
	flagRequestUUID
	flagsKnown = flagComplete | flagKeyUUID | flagRequestUUID
)

// Encode returns the record's stored form.
func (s *Shard) Encode() []byte {
	b := make([]byte, 0, s.Size())
	b = append(b, formatVersion)
	b = binary.AppendUvarint(b, uint64(len(s.Sealed)))
	var version uint64
	var last int64
	for _, g := range s.Sealed {
		b = binary.AppendUvarint(b, g.Version-version)
		b = binary.AppendVarint(b, g.Last.Unix()-last)
		version, last = g.Version, g.Last.Unix()
	}
	b = binary.AppendUvarint(b, uint64(len(s.claims)))
	var created int64
	for _, c := range s.claims {
		b = c.encode(b, created)
		created = c.Created.UnixMilli()
	}
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

func (c *Claim) encode(b []byte, previous int64) []byte {
	flags := byte(0)
	if c.Complete {
		flags |= flagComplete
	}
	key, keyIsUUID := canonicalUUID(c.Key)
	if keyIsUUID {
		flags |= flagKeyUUID
	}
	request, requestIsUUID := canonicalUUID(c.RequestID)
	if requestIsUUID {
		flags |= flagRequestUUID
	}
	b = append(b, flags)
	b = appendID(b, c.Key, key, keyIsUUID)
	b = appendID(b, c.RequestID, request, requestIsUUID)
	b = binary.LittleEndian.AppendUint64(b, c.Fingerprint)
	b = binary.AppendVarint(b, c.Created.UnixMilli()-previous)
	if c.Complete {
		b = binary.AppendUvarint(b, uint64(c.Answer.Status))
		b = appendBytes(b, []byte(c.Answer.ContentType))
		b = appendBytes(b, c.Answer.Body)
	}
	return b
}

// canonicalUUID reports whether the text is exactly what uuid.UUID.String returns, so that
// different spellings of one UUID stay different keys.
func canonicalUUID(text string) (uuid.UUID, bool) {
	const canonicalLength = 36
	if len(text) != canonicalLength {
		return uuid.UUID{}, false
	}
	id, err := uuid.Parse(text)
	return id, err == nil && id.String() == text
}

func appendID(b []byte, text string, id uuid.UUID, isUUID bool) []byte {
	if isUUID {
		return append(b, id[:]...)
	}
	return appendBytes(b, []byte(text))
}

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

// Decode reads a record from its stored form. Errors wrap ErrRecordInvalid.
func Decode(data []byte) (*Shard, error) {
	const sumBytes = 8
	if len(data) < 1+sumBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrRecordInvalid, len(data))
	}
	if data[0] != formatVersion {
		return nil, fmt.Errorf("%w: format %d, want %d", ErrRecordInvalid, data[0], formatVersion)
	}
	body, sum := data[:len(data)-sumBytes], data[len(data)-sumBytes:]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(sum) {
		return nil, fmt.Errorf("%w: checksum does not match", ErrRecordInvalid)
	}
	d := &decoder{b: body[1:]}
	s := d.shard()
	if d.bad || len(d.b) != 0 {
		return nil, fmt.Errorf("%w: malformed content", ErrRecordInvalid)
	}
	return s, nil
}

// decoder reads from b and sets bad on the first malformed field; later reads return zero values.
type decoder struct {
	b   []byte
	bad bool
}

func (d *decoder) shard() *Shard {
	s := newShard()
	var version uint64
	var last int64
	for range d.count() {
		version += d.uvarint()
		last += d.varint()
		s.Sealed = append(s.Sealed, Segment{Version: version, Last: time.Unix(last, 0)})
	}
	var created int64
	for range d.count() {
		c := d.claim(created)
		if d.bad || s.index[c.Key] != nil {
			d.bad = true
			break
		}
		created = c.Created.UnixMilli()
		s.add(c)
	}
	return s
}

func (d *decoder) claim(previous int64) *Claim {
	flags := d.take(1)
	if d.bad || flags[0]&^flagsKnown != 0 {
		d.bad = true
		return nil
	}
	c := &Claim{
		Key:       d.id(flags[0]&flagKeyUUID != 0),
		RequestID: d.id(flags[0]&flagRequestUUID != 0),
		Complete:  flags[0]&flagComplete != 0,
	}
	if fp := d.take(8); !d.bad {
		c.Fingerprint = binary.LittleEndian.Uint64(fp)
	}
	c.Created = time.UnixMilli(previous + d.varint())
	if c.Complete {
		c.Answer.Status = uint32(d.uvarint())
		c.Answer.ContentType = string(d.bytes())
		c.Answer.Body = d.bytes()
	}
	return c
}

func (d *decoder) id(isUUID bool) string {
	if !isUUID {
		return string(d.bytes())
	}
	var id uuid.UUID
	copy(id[:], d.take(len(id)))
	return id.String()
}

// count reads a number of items. Each item takes at least one byte.
func (d *decoder) count() int {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.bad = true
		return 0
	}
	return int(n)
}

func (d *decoder) bytes() []byte {
	n := d.count()
	if n == 0 {
		return nil
	}
	return d.take(n)
}

func (d *decoder) take(n int) []byte {
	if d.bad || len(d.b) < n {
		d.bad = true
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.bad = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.bad = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

package once

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Encoding of a record, format version 1. Integers are unsigned varints unless a size is given.
// Differences marked as signed are zigzag varints.
//
//	format version: 1 byte
//	number of sealed records; for each: version minus that of the previous one, last creation time
//	  in seconds minus that of the previous one (signed)
//	number of claims; for each: flags (1 byte), key, request ID, fingerprint (8 bytes), creation time
//	  in milliseconds minus that of the previous claim (signed); if complete: status, content type,
//	  body
//	xxhash64 of all the above: 8 bytes
//
// Strings are encoded as their length followed by their bytes. A key or request ID that is a UUID in
// canonical form is encoded as its 16 bytes.
const formatVersion = 1

// recordOverhead is an upper bound on the encoded size of a record without claims and without its list
// of sealed records, in bytes. It includes the version and time of the first listed record, which are
// encoded in full.
const recordOverhead = 1 + 4*binary.MaxVarintLen64 + 8

const (
	flagComplete = 1 << iota
	flagKeyUUID
	flagRequestUUID
	knownFlags = flagComplete | flagKeyUUID | flagRequestUUID
)

// Encode serialises the record for storage.
func (rec *Record) Encode() []byte {
	b := make([]byte, 0, rec.Size())
	b = append(b, formatVersion)
	b = binary.AppendUvarint(b, uint64(len(rec.Sealed)))
	var version uint64
	var lastSeconds int64
	for _, ref := range rec.Sealed {
		b = binary.AppendUvarint(b, ref.Version-version)
		b = binary.AppendVarint(b, ref.LastCreated.Unix()-lastSeconds)
		version, lastSeconds = ref.Version, ref.LastCreated.Unix()
	}
	b = binary.AppendUvarint(b, uint64(len(rec.claims)))
	var createdMS int64
	for _, c := range rec.claims {
		b = c.encode(b, createdMS)
		createdMS = c.Created.UnixMilli()
	}
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

func (c *Claim) encode(b []byte, previousMS int64) []byte {
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
	b = binary.AppendVarint(b, c.Created.UnixMilli()-previousMS)
	if c.Complete {
		b = binary.AppendUvarint(b, uint64(c.Answer.Status))
		b = appendBytes(b, []byte(c.Answer.ContentType))
		b = appendBytes(b, c.Answer.Body)
	}
	return b
}

// canonicalUUID parses text and reports whether it is exactly what uuid.UUID.String returns. Other
// spellings of the same UUID are encoded as strings, so that they remain different keys.
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

// Decode deserialises a stored record. Errors wrap ErrRecordInvalid.
func Decode(data []byte) (*Record, error) {
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
	rec := d.record()
	if d.malformed || len(d.b) != 0 {
		return nil, fmt.Errorf("%w: malformed content", ErrRecordInvalid)
	}
	return rec, nil
}

// decoder consumes b and sets malformed at the first malformed field; later reads return zero values.
type decoder struct {
	b         []byte
	malformed bool
}

func (d *decoder) record() *Record {
	rec := newRecord()
	var version uint64
	var lastSeconds int64
	for range d.count() {
		version += d.uvarint()
		lastSeconds += d.varint()
		rec.Sealed = append(rec.Sealed, SealedRef{Version: version, LastCreated: time.Unix(lastSeconds, 0)})
	}
	var createdMS int64
	for range d.count() {
		c := d.claim(createdMS)
		if d.malformed || rec.index[c.Key] != nil {
			d.malformed = true
			break
		}
		createdMS = c.Created.UnixMilli()
		rec.add(c)
	}
	return rec
}

func (d *decoder) claim(previousMS int64) *Claim {
	flags := d.take(1)
	if d.malformed || flags[0]&^knownFlags != 0 {
		d.malformed = true
		return nil
	}
	c := &Claim{
		Key:       d.id(flags[0]&flagKeyUUID != 0),
		RequestID: d.id(flags[0]&flagRequestUUID != 0),
		Complete:  flags[0]&flagComplete != 0,
	}
	if fp := d.take(8); !d.malformed {
		c.Fingerprint = binary.LittleEndian.Uint64(fp)
	}
	c.Created = time.UnixMilli(previousMS + d.varint())
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

// count reads a number of items. Since an item takes at least one byte, a number above the remaining
// input is malformed.
func (d *decoder) count() int {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.malformed = true
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
	if d.malformed || len(d.b) < n {
		d.malformed = true
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.malformed = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.malformed = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

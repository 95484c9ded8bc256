package once_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/once"
)

var recordKeys = []string{
	"a", "b", strings.Repeat("k", once.MaxKeyBytes),
	uuidAt(time.UnixMilli(1e12), 1), strings.ToUpper(uuidAt(time.UnixMilli(1e12), 10)),
}

func drawRequest(t *rapid.T) once.Request {
	return once.Request{
		Service:     service,
		Key:         rapid.SampledFrom(recordKeys).Draw(t, "key"),
		RequestID:   rapid.SampledFrom([]string{"r", "s", uuidAt(time.UnixMilli(1e12), 2)}).Draw(t, "id"),
		Action:      once.Action(rapid.IntRange(1, 3).Draw(t, "action")),
		Fingerprint: rapid.Uint64().Draw(t, "fingerprint") % 2,
		Answer: once.Answer{
			Status:      rapid.Uint32().Draw(t, "status"),
			ContentType: rapid.StringN(0, 20, 200).Draw(t, "type"),
			Body:        rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "body"),
		},
	}
}

// Guards against records that decode to other content than was encoded, are larger than their computed
// size, or are accepted although they are corrupt or truncated.
func TestRecordRoundTrip(t *testing.T) {
	settings := once.DefaultSettings()
	rapid.Check(t, func(t *rapid.T) {
		rec, err := once.Decode(encodedEmptyRecord())
		require.NoError(t, err)
		now := time.UnixMilli(1e12)
		for _, r := range rapid.SliceOfN(rapid.Custom(drawRequest), 0, 30).Draw(t, "requests") {
			rec.Apply(&r, now, &settings)
			now = now.Add(time.Duration(rapid.IntRange(-50, 500).Draw(t, "ms")) * time.Millisecond)
		}
		rec.Sealed = []once.SealedRef{{Version: 3, LastCreated: now.Truncate(time.Second)}, {Version: 900, LastCreated: now.Truncate(time.Second).Add(time.Hour)}}
		data := rec.Encode()
		require.LessOrEqual(t, len(data), rec.Size())
		back, err := once.Decode(data)
		require.NoError(t, err)
		require.Equal(t, data, back.Encode())
		require.Equal(t, rec.Len(), back.Len())
		for _, key := range recordKeys {
			require.Equal(t, rec.Get(key) == nil, back.Get(key) == nil, key)
		}

		i := rapid.IntRange(0, len(data)-1).Draw(t, "position")
		data[i] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, err = once.Decode(data)
		require.ErrorIs(t, err, once.ErrRecordInvalid)
		_, err = once.Decode(data[:i])
		require.ErrorIs(t, err, once.ErrRecordInvalid)
	})
}

// encodedEmptyRecord returns the encoding of an empty record.
func encodedEmptyRecord() []byte {
	// Format version 1, no sealed records, no claims, checksum.
	rec := &once.Record{}
	return rec.Encode()
}

// Guards against a record that is larger than a value of the key-value service may be, and against an
// answer above the size limit that is returned as recorded.
func TestRecordBounds(t *testing.T) {
	settings := once.DefaultSettings()
	rec, err := once.Decode(encodedEmptyRecord())
	require.NoError(t, err)
	now := time.UnixMilli(1e12)
	large := once.Answer{Status: 200, Body: make([]byte, settings.MaxBodyBytes+1)}
	fits := once.Answer{Status: 200, Body: make([]byte, settings.MaxBodyBytes)}
	for i := 0; ; i++ {
		r := once.Request{Key: strings.Repeat("k", 200) + time.Duration(i).String(), RequestID: "r", Action: once.ActionClaim}
		res, _ := rec.Apply(&r, now, &settings)
		if res.State == once.StateUnavailable {
			require.ErrorIs(t, res.Err, once.ErrRecordFull)
			break
		}
		r.Action = once.ActionComplete
		if i == 0 {
			r.Answer = large
			res, _ = rec.Apply(&r, now, &settings)
			require.True(t, res.Answer.Omitted())
			continue
		}
		if i == 1 {
			r.Answer = fits
			res, _ = rec.Apply(&r, now, &settings)
			require.False(t, res.Answer.Omitted())
		}
	}
	require.LessOrEqual(t, len(rec.Encode()), once.MaxRecordBytes)
}

// Guards against a list of sealed records that leaves no space for claims in the open record: at 1,200
// claims/s over four shards, a shard seals a record every 3.3 s, which adds 26,000 list entries a day.
func TestListOfSealedRecordsIsShort(t *testing.T) {
	rec := &once.Record{}
	for i := range 26000 {
		rec.Sealed = append(rec.Sealed, once.SealedRef{Version: uint64(200 * i), LastCreated: time.Unix(1e9+3*int64(i), 0)})
	}
	data := rec.Encode()
	require.LessOrEqual(t, len(data), rec.Size())
	require.Less(t, len(data), 80<<10)
}

// Guards against a duplicate or delayed delivery that runs again, a refused duplicate that is reported as
// not run, and a table that grows without bound.
func TestExecutor(t *testing.T) {
	now := time.UnixMilli(1e12)
	settings := once.AttemptTableSettings{Capacity: 4, KeepFor: time.Minute}
	e := once.NewAttemptTable("2", settings)
	a := once.Attempt{RequestID: "a", Number: 1, Incarnation: "2"}
	stale, second := a, a
	stale.Incarnation, second.Number = "1", 2

	require.Equal(t, once.RefuseWrongIncarnation, e.Begin(now, stale))
	require.True(t, once.RefuseWrongIncarnation.NotRun())
	require.False(t, once.RefuseDuplicate.NotRun())
	require.Equal(t, once.Run, e.Begin(now, a))
	require.Equal(t, once.RefuseDuplicate, e.Begin(now, a))
	require.Equal(t, once.RefuseDuplicate, e.Begin(now, second), "another attempt while the first one runs")
	e.End(now, a, false)
	require.Equal(t, once.RefuseDuplicate, e.Begin(now, a), "a delayed delivery of the refused attempt")
	require.Equal(t, once.Run, e.Begin(now, second))
	e.End(now, second, true)
	third := second
	third.Number = 3
	require.Equal(t, once.RefuseDuplicate, e.Begin(now, third), "an attempt after one that ran")

	for i := range 10 {
		r := once.Attempt{RequestID: time.Duration(i).String(), Number: 1, Incarnation: "2", Repeatable: true}
		require.Equal(t, once.Run, e.Begin(now, r), "ended attempts of repeatable requests are evicted")
		e.End(now, r, true)
		require.LessOrEqual(t, e.Len(), settings.Capacity)
	}
	for _, id := range []string{"x", "y"} {
		r := once.Attempt{RequestID: id, Number: 1, Incarnation: "2"}
		require.Equal(t, once.Run, e.Begin(now, r))
		e.End(now, r, true)
	}
	full := once.Attempt{RequestID: "z", Number: 1, Incarnation: "2"}
	require.Equal(t, once.RefuseFull, e.Begin(now, full))
	require.Equal(t, once.RefuseDuplicate, e.Begin(now.Add(settings.KeepFor), a))
	require.Equal(t, once.Run, e.Begin(now.Add(settings.KeepFor+time.Second), full))
}

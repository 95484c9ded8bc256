package usage

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
)

// Keys in the store.
const (
	KeyPrefix = "usage/"
	// RecordKey is the key of the record of the last report.
	RecordKey = KeyPrefix + "report"
	// CountsPrefix is the prefix of the keys under which instances that cannot reach the holder write their counts.
	CountsPrefix = KeyPrefix + "counts/"
)

// maxRecordedBytes limits the counts in a record. Each record is delivered to all instances by their watch: 4 KiB to 340
// instances every 5 s are 280 KB/s. About 200 accounts fit.
const maxRecordedBytes = 4 << 10

// Record is the record of a report. It is written before the report is sent, and windows only increase, so that no
// holder builds a second report for a window while the store keeps it.
type Record struct {
	Window int64  `json:"window"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// Era is the era of the store in which the record was written. In a later era, later records may have been lost.
	Era uint64 `json:"era,omitempty"`
	// Counts is the whole report; nil if it is too large, so that only the holder that built it can send it.
	Counts  map[string]int64 `json:"counts,omitempty"`
	Empty   bool             `json:"empty,omitempty"` // the report has no counts
	Digest  string           `json:"digest"`
	WriteID string           `json:"write_id"`
}

// report returns the report of a record. ok is false if the record does not contain it.
func (r *Record) report() (rep Report, ok bool) {
	rep = Report{Window: r.Window, Counts: r.Counts}
	if rep.Counts == nil {
		rep.Counts = map[string]int64{}
	}
	return rep, (r.Empty || len(r.Counts) > 0) && digest(rep) == r.Digest
}

// Encode returns the encoding of a record.
func (r *Record) Encode() []byte { return mustEncode(r) }

// DecodeRecord decodes a record that another instance has sent. Its counts must be whole.
func DecodeRecord(b []byte) (*Record, error) {
	rec := &Record{}
	if err := json.Unmarshal(b, rec); err != nil {
		return nil, fmt.Errorf("record of a usage report: %w", err)
	}
	if _, ok := rec.report(); !ok {
		return nil, fmt.Errorf("record of the usage report of window %d: the counts are not whole", rec.Window)
	}
	return rec, nil
}

// digest returns a hash of a report, which tells whether the counts in a record are whole.
func digest(r Report) string {
	h := xxhash.New()
	number := func(n int64) {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(n))) //nolint:gosec // any bijection will do
	}
	number(r.Window)
	for _, account := range slices.Sorted(maps.Keys(r.Counts)) {
		number(int64(len(account)))
		_, _ = h.WriteString(account)
		number(r.Counts[account])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// newRecord returns the record of a report and its encoding.
func newRecord(r Report, holder string, fence, era uint64) (*Record, []byte) {
	rec := &Record{Window: r.Window, Holder: holder, Fence: fence, Era: era, Counts: r.Counts, Empty: len(r.Counts) == 0, Digest: digest(r), WriteID: cas.NewID()}
	b := mustEncode(rec)
	if len(b) > maxRecordedBytes {
		rec.Counts = nil
		b = mustEncode(rec)
	}
	return rec, b
}

func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // strings and numbers only
	}
	return b
}

// loadRecord reads the record of the last report. It is nil if there is none; version is the version of its key.
func loadRecord(ctx context.Context, kv external.KV) (rec *Record, version uint64, err error) {
	e, err := cas.Get(ctx, kv, RecordKey, 0)
	if errors.Is(err, external.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	rec = &Record{}
	if err := json.Unmarshal(e.Value, rec); err != nil {
		return nil, 0, fmt.Errorf("record %q: %w", RecordKey, err)
	}
	return rec, e.Version, nil
}

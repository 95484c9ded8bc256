package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
)

// store reads and writes the record of one engine.
type store struct {
	kv  external.KV
	key string
}

// versionedRecord is a record with the version of its key. Version 0 means that the key is absent.
type versionedRecord struct {
	Record
	version uint64
}

func (s store) read(ctx context.Context) (versionedRecord, error) {
	e, err := cas.Get(ctx, s.kv, s.key, 0)
	if errors.Is(err, external.ErrNotFound) {
		return versionedRecord{}, nil
	}
	if err != nil {
		return versionedRecord{}, fmt.Errorf("read %q: %w: %w", s.key, ErrStore, err)
	}
	return decode(e)
}

func decode(e external.KVEntry) (versionedRecord, error) {
	v := versionedRecord{version: e.Version}
	if err := json.Unmarshal(e.Value, &v.Record); err != nil {
		return versionedRecord{}, fmt.Errorf("read %q: %w: %w", e.Key, ErrBadRecord, err)
	}
	return v, nil
}

// write applies an event to a record that was read before and stores the result. check, if not
// nil, runs before each attempt to store it.
func (s store) write(ctx context.Context, v versionedRecord, e Event, check func() error) (versionedRecord, error) {
	n, err := Next(v.Record, e)
	if err != nil {
		return v, err
	}
	n.WriteID = cas.NewID()
	value, err := json.Marshal(n)
	if err != nil {
		return v, fmt.Errorf("encode %q: %w: %w", s.key, ErrBadRecord, err)
	}
	version, err := cas.Swap(ctx, s.kv, cas.Write{
		Key: s.key, Expected: v.version, Value: value, ID: n.WriteID, Check: check,
	})
	switch {
	case err == nil:
		return versionedRecord{Record: n, version: version}, nil
	case errors.Is(err, ErrNoAuthority):
		return v, err
	case errors.Is(err, external.ErrConflict):
		return v, fmt.Errorf("write %q: %w", s.key, ErrConflict)
	}
	return v, fmt.Errorf("write %q: %w: %w", s.key, ErrStore, err)
}

package registry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/external"
)

// ErrNotFound means that the key-value service holds no record of the service.
var ErrNotFound = errors.New("service not found")

// ConflictError means that the record is not at the base revision. Nothing was written.
type ConflictError struct {
	Service string
	Base    uint64
	// Winner is the record in the key-value service; its revision is 0 if there is none.
	Winner Record
	// Diff leads from the winner's body to the refused one.
	Diff string
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Winner.Revision == 0 {
		return fmt.Sprintf("service %q does not exist; its base revision is 0, not %d", e.Service, e.Base)
	}
	if e.Winner.WriteID == "" {
		return fmt.Sprintf("service %q has no valid record; its last known revision is %d, above base revision %d",
			e.Service, e.Winner.Revision, e.Base)
	}
	return fmt.Sprintf("service %q is at revision %d by %q, not at base revision %d",
		e.Service, e.Winner.Revision, e.Winner.Author, e.Base)
}

// OutcomeUnknownError means that a write was sent and could not be read back. It may take
// effect, or have taken effect, as the given revision.
type OutcomeUnknownError struct {
	Service  string
	Revision uint64
	WriteID  string
	Err      error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("write %s of service %q may or may not have become revision %d: %v", e.WriteID, e.Service, e.Revision, e.Err)
}

// Unwrap implements errors.Unwrap.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

const (
	// settleTimeout bounds the reading back of a write whose response was lost.
	settleTimeout = 6 * time.Second
	settlePause   = 200 * time.Millisecond
	// historyTimeout bounds the best-effort writes after the document is accepted.
	historyTimeout = 3 * time.Second
)

// Apply validates a document and makes it the service's next revision, if the record is at
// the base revision. Base 0 means that the service does not exist or is deleted. A body equal
// to the one in force is accepted without a write.
//
// An invalid record can be replaced from any base that is not below the revision that the
// history knows. The caller takes the highest revision that the processes have in force, since
// they ignore lower ones.
func Apply(ctx context.Context, kv external.KV, service string, base uint64, body []byte, author string) (Record, error) {
	s, err := document.Parse(body)
	if err != nil {
		return Record{}, err
	}
	if s.Service != service {
		return Record{}, document.Errors{{
			Line: 1, Column: 1, Field: "service", Found: fmt.Sprintf("%q", s.Service), Allowed: fmt.Sprintf("%q", service),
		}}
	}
	return write(ctx, kv, Record{Service: service, Body: body, Author: author}, base)
}

// Delete replaces the service's record with a tombstone of the next revision.
func Delete(ctx context.Context, kv external.KV, service string, base uint64, author string) (Record, error) {
	if !document.ValidName(service) {
		return Record{}, fmt.Errorf("%w: invalid name %q", ErrNotFound, service)
	}
	return write(ctx, kv, Record{Service: service, Deleted: true, Author: author}, base)
}

func write(ctx context.Context, kv external.KV, next Record, base uint64) (Record, error) {
	if len(next.Author) > MaxAuthorBytes {
		return Record{}, fmt.Errorf("author has %d bytes; allowed are %d", len(next.Author), MaxAuthorBytes)
	}
	current, version, err := read(ctx, kv, next.Service)
	if err != nil {
		return Record{}, err
	}
	if err := checkBase(&current, &next, version, base); err != nil {
		return Record{}, err
	}
	// Only over an invalid record can the base be above the revision that is known.
	current.Revision = max(current.Revision, base)
	if current.WriteID != "" && current.Deleted == next.Deleted && bytes.Equal(current.Body, next.Body) {
		return current, nil
	}
	repairHistory(ctx, kv, &current)
	next.Revision = current.Revision + 1
	next.WriteID = uuid.NewString()
	next.Time = time.Now().UTC().Truncate(time.Millisecond)
	next.Recent = append([]Write{{next.Revision, next.WriteID}}, current.Recent...)
	next.Recent = next.Recent[:min(len(next.Recent), HistoryLength)]
	if err := swap(ctx, kv, &next, version, base); err != nil {
		return Record{}, err
	}
	recordHistory(ctx, kv, &next)
	return next, nil
}

// read returns the present record and its version. If the record is absent or invalid, the
// record that it returns is empty but for the last revision that the history knows, so that the
// next record continues from there.
func read(ctx context.Context, kv external.KV, service string) (Record, uint64, error) {
	e, err := kv.Get(ctx, ConfigKey(service))
	if err == nil {
		if r, err := FromEntry(e); err == nil {
			return r, e.Version, nil
		}
	} else if !errors.Is(err, external.ErrNotFound) {
		return Record{}, 0, fmt.Errorf("read service %q: %w", service, err)
	}
	past, err := History(ctx, kv, service)
	if err != nil {
		return Record{}, 0, err
	}
	r := Record{Service: service, Deleted: true}
	if len(past) > 0 {
		r.Revision = past[0].Revision
	}
	return r, e.Version, nil
}

func checkBase(current, next *Record, version, base uint64) error {
	isRecord := current.WriteID != ""
	switch {
	case !isRecord && version == 0 && next.Deleted:
		return fmt.Errorf("%w: %q", ErrNotFound, next.Service)
	case !isRecord && version != 0 && base >= current.Revision:
		return nil
	case base == current.Revision, base == 0 && current.Deleted && (isRecord || version == 0):
		return nil
	}
	return conflict(current, next, base)
}

func conflict(winner, next *Record, base uint64) error {
	diff, err := document.Diff(fmt.Sprintf("%s revision %d", next.Service, winner.Revision), next.Service+" refused",
		winner.Body, next.Body)
	if err != nil {
		return err
	}
	return &ConflictError{Service: next.Service, Base: base, Winner: *winner, Diff: diff}
}

// swap writes the record and settles an unknown outcome.
func swap(ctx context.Context, kv external.KV, next *Record, version, base uint64) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	_, err = kv.CompareAndSwap(ctx, ConfigKey(next.Service), version, value, 0)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, external.ErrConflict):
		return lost(ctx, kv, next, base)
	case errors.Is(err, external.ErrUnavailable):
		return fmt.Errorf("write service %q: %w", next.Service, err)
	}
	return settle(ctx, kv, next, version, value, base)
}

// settle finds out whether a write took effect whose response was lost. A read that shows the
// old version proves nothing, because the write may still be under way; so the same write is
// sent again. At most one of the two can take effect, and both carry the same record.
func settle(ctx context.Context, kv external.KV, next *Record, version uint64, value []byte, base uint64) error {
	// The outcome matters most when the operator's own deadline has ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	for {
		_, err := kv.CompareAndSwap(ctx, ConfigKey(next.Service), version, value, 0)
		if err == nil {
			return nil
		}
		if errors.Is(err, external.ErrConflict) {
			err = lost(ctx, kv, next, base)
			var c *ConflictError
			// Beyond HistoryLength, the list of recent writes may no longer hold this write.
			if err == nil || errors.As(err, &c) && c.Winner.Revision < next.Revision+HistoryLength {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return &OutcomeUnknownError{next.Service, next.Revision, next.WriteID, err}
		case <-time.After(settlePause):
		}
	}
}

// lost reads the record that made a write conflict. It returns nil if the write itself did,
// which happens after a lost response.
func lost(ctx context.Context, kv external.KV, next *Record, base uint64) error {
	winner, _, err := read(ctx, kv, next.Service)
	if err != nil {
		return fmt.Errorf("service %q was changed by another write: %w", next.Service, errors.Join(external.ErrConflict, err))
	}
	if winner.wrote(next.WriteID) {
		return nil
	}
	return conflict(&winner, next, base)
}

// Get returns the present record of a service. A deleted service has a record too.
func Get(ctx context.Context, kv external.KV, service string) (Record, error) {
	if !document.ValidName(service) {
		return Record{}, fmt.Errorf("%w: invalid name %q", ErrNotFound, service)
	}
	e, err := kv.Get(ctx, ConfigKey(service))
	if errors.Is(err, external.ErrNotFound) {
		return Record{}, fmt.Errorf("%w: %q", ErrNotFound, service)
	}
	if err != nil {
		return Record{}, fmt.Errorf("read service %q: %w", service, err)
	}
	return FromEntry(e)
}

// List returns the present records, and one error for each invalid one.
func List(ctx context.Context, kv external.KV) ([]Record, []error, error) {
	entries, _, err := kv.List(ctx, ConfigPrefix)
	if err != nil {
		return nil, nil, fmt.Errorf("list services: %w", err)
	}
	var records []Record
	var invalid []error
	for _, e := range entries {
		r, err := FromEntry(e)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		records = append(records, r)
	}
	return records, invalid, nil
}

// History returns the kept revisions of a service, newest first. Revisions whose
// best-effort write failed are missing.
func History(ctx context.Context, kv external.KV, service string) ([]Record, error) {
	if !document.ValidName(service) {
		return nil, fmt.Errorf("%w: invalid name %q", ErrNotFound, service)
	}
	entries, _, err := kv.List(ctx, HistoryPrefix+service+"/")
	if err != nil {
		return nil, fmt.Errorf("read history of service %q: %w", service, err)
	}
	var records []Record
	for i := len(entries) - 1; i >= 0 && len(records) < HistoryLength; i-- {
		// An invalid record is skipped, as one that is missing.
		if r, err := FromEntry(entries[i]); err == nil && strings.HasPrefix(entries[i].Key, HistoryPrefix) {
			records = append(records, r)
		}
	}
	return records, nil
}

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

// ErrNotFound is returned if the key-value service has no record of the service.
var ErrNotFound = errors.New("service not found")

// ConflictError is returned if the record is not at the base revision. Nothing was written.
type ConflictError struct {
	Service string
	Base    uint64
	// Current is the current record in the key-value service, which may be a tombstone. If the record is
	// missing or invalid, Current has no write ID, and its revision is the latest in the history, or 0 if
	// there is none.
	Current Record
	// Diff is the unified diff from the current body to the rejected one.
	Diff string
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Revision == 0 {
		return fmt.Sprintf("service %q does not exist; its base revision is 0, not %d", e.Service, e.Base)
	}
	if e.Current.WriteID == "" {
		return fmt.Sprintf("service %q has no valid record; its last known revision is %d, not base revision %d",
			e.Service, e.Current.Revision, e.Base)
	}
	return fmt.Sprintf("service %q is at revision %d by %q, not at base revision %d",
		e.Service, e.Current.Revision, e.Current.Author, e.Base)
}

// OutcomeUnknownError is returned if a write was sent but its result could not be determined. The
// write may already have been applied as the given revision, or may be applied later.
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
	// resolveTimeout limits the attempts to determine the outcome of a write whose response was
	// lost.
	resolveTimeout       = 6 * time.Second
	resolveRetryInterval = 200 * time.Millisecond
	// historyTimeout limits each best-effort update of the history.
	historyTimeout = 3 * time.Second
)

// Apply validates a document and stores it as the service's next revision if the current record is
// at the base revision. Base 0 means that the service does not exist or is deleted. If the body is
// equal to the current one, Apply returns the current record without writing.
//
// If the current record is invalid, Apply accepts any base that is not below the latest revision in
// the history. The caller should then pass the highest revision that any process is using, because
// processes ignore lower revisions.
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
	return writeNext(ctx, kv, Record{Service: service, Body: body, Author: author}, base)
}

// Delete replaces the service's record with a tombstone at the next revision and returns it. The base
// has the same meaning as for Apply. Delete returns ErrNotFound if there is no record, and the
// current record without writing if that is a tombstone already.
func Delete(ctx context.Context, kv external.KV, service string, base uint64, author string) (Record, error) {
	if !document.ValidName(service) {
		return Record{}, fmt.Errorf("%w: invalid name %q", ErrNotFound, service)
	}
	return writeNext(ctx, kv, Record{Service: service, Deleted: true, Author: author}, base)
}

func writeNext(ctx context.Context, kv external.KV, next Record, base uint64) (Record, error) {
	if len(next.Author) > MaxAuthorBytes {
		return Record{}, fmt.Errorf("author name has %d bytes; the limit is %d", len(next.Author), MaxAuthorBytes)
	}
	current, version, err := readCurrent(ctx, kv, next.Service)
	if err != nil {
		return Record{}, err
	}
	if err := checkBaseRevision(&current, &next, version, base); err != nil {
		return Record{}, err
	}
	// The base can exceed the known revision only if the current record is invalid.
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
	if err := writeRecord(ctx, kv, &next, version, base); err != nil {
		return Record{}, err
	}
	recordHistory(ctx, kv, &next)
	return next, nil
}

// readCurrent returns the current record and its version in the key-value service. If the record is
// missing or invalid, it returns a deleted record without a write ID that has the latest revision in
// the history, so that the next revision continues from there.
func readCurrent(ctx context.Context, kv external.KV, service string) (Record, uint64, error) {
	e, err := kv.Get(ctx, ConfigKey(service))
	if err == nil {
		if r, err := DecodeEntry(e); err == nil {
			return r, e.Version, nil
		}
	} else if !errors.Is(err, external.ErrNotFound) {
		return Record{}, 0, fmt.Errorf("read service %q: %w", service, err)
	}
	history, err := History(ctx, kv, service)
	if err != nil {
		return Record{}, 0, err
	}
	r := Record{Service: service, Deleted: true}
	if len(history) > 0 {
		r.Revision = history[0].Revision
	}
	return r, e.Version, nil
}

// checkBaseRevision returns nil if next may replace the current record. The arguments come from
// readCurrent: current has no write ID if the record is missing or invalid, and version is 0 if its
// key is missing.
func checkBaseRevision(current, next *Record, version, base uint64) error {
	hasValidRecord := current.WriteID != ""
	switch {
	// The key is missing, so there is nothing to delete.
	case !hasValidRecord && version == 0 && next.Deleted:
		return fmt.Errorf("%w: %q", ErrNotFound, next.Service)
	// An invalid record may be replaced, but not with a revision that is in the history.
	case !hasValidRecord && version != 0 && base >= current.Revision:
		return nil
	// Base 0 is accepted for a deleted service and for a missing key, but not for an invalid record.
	case base == current.Revision, base == 0 && current.Deleted && (hasValidRecord || version == 0):
		return nil
	}
	return newConflictError(current, next, base)
}

func newConflictError(current, next *Record, base uint64) error {
	diff, err := document.Diff(fmt.Sprintf("%s revision %d", next.Service, current.Revision), next.Service+" refused",
		current.Body, next.Body)
	if err != nil {
		return err
	}
	return &ConflictError{Service: next.Service, Base: base, Current: *current, Diff: diff}
}

// writeRecord writes the record and returns a ConflictError if another write came first. If the
// outcome of the write is unknown, it tries to determine it for up to resolveTimeout and otherwise
// returns an OutcomeUnknownError.
func writeRecord(ctx context.Context, kv external.KV, next *Record, version, base uint64) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	_, err = kv.CompareAndSwap(ctx, ConfigKey(next.Service), version, value, 0)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, external.ErrConflict):
		return resolveConflict(ctx, kv, next, base)
	case errors.Is(err, external.ErrUnavailable):
		return fmt.Errorf("write service %q: %w", next.Service, err)
	}
	return resolveUnknownOutcome(ctx, kv, next, version, value, base)
}

// resolveUnknownOutcome determines whether a write whose response was lost was applied. Reading the
// old version back would prove nothing, because the write may still be in transit, so the same write
// is sent again. At most one of the two can succeed, and both contain the same record.
//
// It returns nil if the write was applied, a ConflictError if it never will be, and an
// OutcomeUnknownError if that cannot be determined within resolveTimeout.
func resolveUnknownOutcome(ctx context.Context, kv external.KV, next *Record, version uint64, value []byte, base uint64) error {
	// The outcome must be determined even if the caller's deadline has expired.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	for {
		_, err := kv.CompareAndSwap(ctx, ConfigKey(next.Service), version, value, 0)
		if err == nil {
			return nil
		}
		if errors.Is(err, external.ErrConflict) {
			err = resolveConflict(ctx, kv, next, base)
			var c *ConflictError
			// After HistoryLength further revisions, Recent may no longer include this write.
			if err == nil || errors.As(err, &c) && c.Current.Revision < next.Revision+HistoryLength {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return &OutcomeUnknownError{next.Service, next.Revision, next.WriteID, err}
		case <-time.After(resolveRetryInterval):
		}
	}
}

// resolveConflict reads the record that caused a version conflict. It returns nil if the current
// record includes the write itself, which happens after a lost response.
func resolveConflict(ctx context.Context, kv external.KV, next *Record, base uint64) error {
	current, _, err := readCurrent(ctx, kv, next.Service)
	if err != nil {
		return fmt.Errorf("service %q had a version conflict and its current record could not be read: %w", next.Service, errors.Join(external.ErrConflict, err))
	}
	if current.includesWrite(next.WriteID) {
		return nil
	}
	return newConflictError(&current, next, base)
}

// Get returns the current record of a service, which is a tombstone if the service is deleted.
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
	return DecodeEntry(e)
}

// List returns the current valid records and one error for each invalid record.
func List(ctx context.Context, kv external.KV) ([]Record, []error, error) {
	entries, _, err := kv.List(ctx, ConfigPrefix)
	if err != nil {
		return nil, nil, fmt.Errorf("list services: %w", err)
	}
	var records []Record
	var invalid []error
	for _, e := range entries {
		r, err := DecodeEntry(e)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		records = append(records, r)
	}
	return records, invalid, nil
}

// History returns the retained revisions of a service, newest first. Revisions whose best-effort
// write failed are missing.
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
		// Invalid entries are treated as missing.
		if r, err := DecodeEntry(entries[i]); err == nil && strings.HasPrefix(entries[i].Key, HistoryPrefix) {
			records = append(records, r)
		}
	}
	return records, nil
}

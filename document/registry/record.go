// Package registry stores accepted service documents in the key-value service.
//
// Invariants: the revision of a service's record only increases, even across deletion and
// re-creation; a document is accepted if and only if the compare-and-swap of its record succeeded.
package registry

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/external"
)

const (
	// ConfigPrefix is the key prefix of the current record of each service.
	ConfigPrefix = "config/"
	// HistoryPrefix is the key prefix of the history entries, one per revision.
	HistoryPrefix = "history/"
	// HistoryLength is the number of revisions kept in the history of a service.
	HistoryLength = 20
	// MaxAuthorBytes is the maximum length of an author's name.
	MaxAuthorBytes = 256
	// maxValueBytes is the maximum value size in the key-value service.
	maxValueBytes = 1 << 20
)

// ConfigKey returns the key of a service's record.
func ConfigKey(service string) string { return ConfigPrefix + service }

// HistoryKey returns the key of a history entry. The revision is zero-padded so that keys sort
// numerically.
func HistoryKey(service string, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", HistoryPrefix, service, revision)
}

// Record is one revision of a service's document.
type Record struct {
	Service  string `json:"service" yaml:"service"`
	Revision uint64 `json:"revision" yaml:"revision"`
	// Body is empty if the service is deleted.
	Body    []byte `json:"body,omitempty" yaml:"-"`
	Deleted bool   `json:"deleted,omitempty" yaml:"deleted,omitempty"`
	// Author is the name under which the document was applied or deleted.
	Author string `json:"author" yaml:"author"`
	// WriteID identifies the write that created the revision. It is empty only in the placeholder that
	// readCurrent returns for a missing or invalid record.
	WriteID string `json:"write_id" yaml:"write_id"`
	// Time is the time of the write according to the writer's clock.
	Time time.Time `json:"time" yaml:"time"`
	// Recent lists the writes of the latest revisions, newest first, including this one. A writer
	// whose response was lost can find its write here even after later writes by others.
	Recent []Write `json:"recent,omitempty" yaml:"-"`
}

// Write identifies the write that created a revision.
type Write struct {
	Revision uint64 `json:"revision"`
	WriteID  string `json:"write_id"`
}

// CorruptRecordError is returned if a stored value is not a valid record.
type CorruptRecordError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("key %q holds an invalid record: %s", e.Key, e.Reason)
}

// Decode decodes and checks the value of a key under ConfigPrefix or HistoryPrefix. It does not parse
// the document in the body, which another version of the program may have written.
func Decode(key string, value []byte) (Record, error) {
	var r Record
	if len(value) > maxValueBytes {
		return Record{}, &CorruptRecordError{key, fmt.Sprintf("%d bytes exceed the maximum size of a value", len(value))}
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, &CorruptRecordError{key, err.Error()}
	}
	if reason := r.invalidReason(key); reason != "" {
		return Record{}, &CorruptRecordError{key, reason}
	}
	return r, nil
}

// invalidReason returns why the record is not valid under the key, or an empty string.
func (r *Record) invalidReason(key string) string {
	switch {
	case !document.ValidName(r.Service):
		return fmt.Sprintf("service name %q", r.Service)
	case key != ConfigKey(r.Service) && key != HistoryKey(r.Service, r.Revision):
		return fmt.Sprintf("it belongs to service %q at revision %d", r.Service, r.Revision)
	case r.Revision == 0:
		return "revision 0"
	case r.Deleted != (len(r.Body) == 0):
		return fmt.Sprintf("deleted is %t and the body has %d bytes", r.Deleted, len(r.Body))
	case len(r.Body) > document.MaxBytes:
		return fmt.Sprintf("body of %d bytes exceeds the maximum size of a document", len(r.Body))
	case r.WriteID == "":
		return "no write ID"
	}
	return ""
}

func (r *Record) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of service %q: %w", r.Service, err)
	}
	if len(b) > maxValueBytes {
		return nil, fmt.Errorf("record of service %q has %d bytes; the limit is %d", r.Service, len(b), maxValueBytes)
	}
	return b, nil
}

// includesWrite reports whether the write with the given ID created this revision or one of the
// recent revisions before it.
func (r *Record) includesWrite(id string) bool {
	return r.WriteID == id || slices.ContainsFunc(r.Recent, func(w Write) bool { return w.WriteID == id })
}

// DecodeEntry decodes the record in an entry of the key-value service.
func DecodeEntry(e external.KVEntry) (Record, error) { return Decode(e.Key, e.Value) }

// ServiceOf returns the service name in a key under ConfigPrefix, and whether it is valid.
func ServiceOf(key string) (string, bool) {
	name, ok := strings.CutPrefix(key, ConfigPrefix)
	return name, ok && document.ValidName(name)
}

package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
	"github.com/quetzallug/quetzallug/quarantine"
)

const (
	// quarantinePrefix is the prefix of the keys through which instances share the quarantine: their
	// reports of crashes, by instance, and the quarantined parts, by ID.
	quarantinePrefix = "quarantine/"
	reportsPrefix    = quarantinePrefix + "reports/"
	partsPrefix      = quarantinePrefix + "parts/"
	// quarantineCallTimeout limits one call to the store.
	quarantineCallTimeout = 2 * time.Second
	// claimTimeout limits how long a request waits to become a probe.
	claimTimeout = 300 * time.Millisecond
	// quarantineSpacing is the least time between two rounds of writes, so that the crashes of one moment
	// share a write.
	quarantineSpacing = 50 * time.Millisecond
	// quarantineRetryDelay is the delay after a round that failed, and quarantineTickInterval that between
	// rounds while there is anything that expires.
	quarantineRetryDelay   = 400 * time.Millisecond
	quarantineTickInterval = time.Second
	// maxQuarantineRecord limits a record of another instance, in bytes.
	maxQuarantineRecord = 64 << 10
)

// Quarantine refuses requests with prompt parts under which backend servers crash, and shares with the other
// instances which parts these are. It is safe for concurrent use.
type Quarantine struct {
	instance string
	kv       external.KV
	tracker  *quarantine.Tracker
	log      logrus.FieldLogger
	// reportVersion is the version of this instance's report, and failing is true while writes fail; both are
	// used by Run only.
	reportVersion uint64
	failing       bool
	// listed is true once all records of the store were read; it is used by the store watch only.
	listed bool
}

// NewQuarantine returns a Quarantine that shares its state through kv.
func NewQuarantine(instance string, kv external.KV, log logrus.FieldLogger) *Quarantine {
	return &Quarantine{instance: instance, kv: kv, tracker: quarantine.New(instance, rand.Uint64()), log: log}
}

// Run writes reports and entries to the store until the context ends.
func (q *Quarantine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-q.tracker.Changed():
		}
		next := q.round(ctx)
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return
		case <-time.After(quarantineSpacing):
		}
	}
}

// idleInterval is the time between rounds while there is nothing to do.
const idleInterval = time.Minute

// round writes what has changed and returns the time until the next round, unless there is a change before.
func (q *Quarantine) round(ctx context.Context) time.Duration {
	q.tracker.Expire(time.Now())
	q.logEvents()
	next := idleInterval
	if q.tracker.Active() {
		next = quarantineTickInterval
	}
	err := q.writeReport(ctx)
	due, at := q.tracker.Writes(time.Now())
	for i := range due {
		err = errors.Join(err, q.writeEntry(ctx, &due[i]))
	}
	if !at.IsZero() {
		next = min(next, max(time.Until(at), quarantineSpacing))
	}
	if err != nil {
		next = quarantineRetryDelay
	}
	if failing := err != nil; failing != q.failing && ctx.Err() == nil {
		q.failing = failing
		if failing {
			q.log.WithError(err).Warn("quarantine not written to the store; trying again")
		} else {
			q.log.Info("quarantine written to the store again")
		}
	}
	return next
}

func (q *Quarantine) logEvents() {
	for _, e := range q.tracker.Events() {
		q.log.WithFields(logrus.Fields{
			"part": e.Entry.Name, "decision": e.Kind, "by": e.Entry.By, "servers": e.Entry.Servers, "probes": e.Entry.Probes,
			"term_ms": e.Entry.Term().Milliseconds(),
		}).Warn("quarantine of a prompt part")
	}
}

// writeReport writes this instance's report if it has changed.
func (q *Quarantine) writeReport(ctx context.Context) error {
	r, reportVersion, changed := q.tracker.Report(time.Now())
	if !changed {
		return nil
	}
	value, err := json.Marshal(&r)
	if err != nil {
		return err
	}
	key := reportsPrefix + q.instance
	version, err := q.write(ctx, key, q.reportVersion, value, "", quarantine.ReportLifetime)
	if errors.Is(err, external.ErrConflict) || errors.Is(err, external.ErrOutcomeUnknown) {
		// The key is of this instance's last run, it has lapsed, or an earlier write took effect.
		q.reportVersion = 0
		if e, getErr := q.kv.Get(ctx, key); getErr == nil {
			q.reportVersion = e.Version
		}
		version, err = q.write(ctx, key, q.reportVersion, value, "", quarantine.ReportLifetime)
	}
	if err != nil {
		return err
	}
	q.reportVersion = version
	q.tracker.ReportWritten(reportVersion)
	return nil
}

// entryRecord is the value of an entry in the store. Its write ID tells a write whose response was lost
// from that of another instance.
type entryRecord struct {
	quarantine.Entry
	WriteID string `json:"write_id"`
}

// writeEntry writes an entry. If another instance has changed it, it takes that change over instead.
func (q *Quarantine) writeEntry(ctx context.Context, w *quarantine.Write) error {
	version, err := q.swapEntry(ctx, w)
	switch {
	case err == nil:
		q.tracker.Written(w, version)
		return nil
	case !errors.Is(err, external.ErrConflict):
		return err
	}
	e, err := q.kv.Get(ctx, partKey(w.Entry.ID))
	switch {
	case errors.Is(err, external.ErrNotFound):
		q.tracker.RemoveEntry(w.Entry.ID, time.Now())
		return nil
	case err == nil:
		q.apply(external.KVEvent{KVEntry: e})
	}
	return err
}

func (q *Quarantine) swapEntry(ctx context.Context, w *quarantine.Write) (uint64, error) {
	id := cas.NewID()
	value, err := json.Marshal(entryRecord{w.Entry, id})
	if err != nil {
		return 0, err
	}
	return q.write(ctx, partKey(w.Entry.ID), w.Expected, value, id, w.Entry.Lifetime())
}

// write writes a record that the store keeps for a time. writeID is empty for records without one.
func (q *Quarantine) write(ctx context.Context, key string, expected uint64, value []byte, writeID string, lifetime time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	lease, err := q.kv.GrantLease(ctx, lifetime)
	if err != nil {
		return 0, err
	}
	if writeID == "" {
		return q.kv.CompareAndSwap(ctx, key, expected, value, lease)
	}
	return cas.Swap(ctx, q.kv, cas.Write{Key: key, Expected: expected, Value: value, Lease: lease, ID: writeID})
}

func partKey(id uint64) string { return fmt.Sprintf("%s%016x", partsPrefix, id) }

// claimProbe reports whether a request may be sent as the probe for its quarantined parts. At most one request
// of the whole installation may in a term, because the claim is a write of each entry.
func (q *Quarantine) claimProbe(ctx context.Context, parts []quarantine.Part) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for _, part := range parts {
		w, ok := q.tracker.ProbeWrite(part.ID, time.Now())
		if !ok {
			return false
		}
		version, err := q.swapEntry(ctx, &w)
		if err != nil {
			q.log.WithError(err).WithField("part", part.Name).Info("no probe of a quarantined part")
			return false
		}
		q.tracker.MergeEntry(w.Entry, version, time.Now())
	}
	return true
}

// apply takes over a change of a record of the quarantine.
func (q *Quarantine) apply(e external.KVEvent) {
	now := time.Now()
	var err error
	switch {
	case strings.HasPrefix(e.Key, reportsPrefix):
		reporter := e.Key[len(reportsPrefix):]
		if e.Deleted {
			q.tracker.ForgetReporter(reporter)
			return
		}
		var r quarantine.Report
		if err = decodeRecord(e.Value, &r); err == nil {
			q.tracker.MergeReport(reporter, &r, !q.listed, now)
		}
	case strings.HasPrefix(e.Key, partsPrefix):
		var id uint64
		if id, err = strconv.ParseUint(e.Key[len(partsPrefix):], 16, 64); err != nil {
			break
		}
		if e.Deleted {
			q.tracker.RemoveEntry(id, now)
			return
		}
		var r entryRecord
		if err = decodeRecord(e.Value, &r); err == nil && r.ID != id {
			err = fmt.Errorf("%w: part %016x under the key of %016x", quarantine.ErrInvalid, r.ID, id)
		}
		if err == nil {
			q.tracker.MergeEntry(r.Entry, e.Revision, now)
		}
	}
	if err != nil {
		q.log.WithError(err).WithField("key", e.Key).Warn("record of the quarantine unreadable, ignored")
	}
}

// decodeRecord decodes and validates a record of another instance.
func decodeRecord(value []byte, out interface{ Validate() error }) error {
	if len(value) > maxQuarantineRecord {
		return fmt.Errorf("%w: %d bytes, at most %d", quarantine.ErrInvalid, len(value), maxQuarantineRecord)
	}
	if err := json.Unmarshal(value, out); err != nil {
		return err
	}
	return out.Validate()
}

// replace takes over a list of all records of the quarantine, the first one of a new epoch of the store if newEpoch is set.
func (q *Quarantine) replace(entries []external.KVEntry, newEpoch bool) {
	if newEpoch {
		q.tracker.BeginEpoch()
	}
	listed := make(map[uint64]bool)
	for _, e := range entries {
		if id, err := strconv.ParseUint(strings.TrimPrefix(e.Key, partsPrefix), 16, 64); err == nil {
			listed[id] = true
		}
		q.apply(external.KVEvent{KVEntry: e})
	}
	q.tracker.KeepEntries(listed, time.Now())
	q.listed = true
}

// recordCrashes records the requests that were on backend servers as these crashed together.
func (q *Quarantine) recordCrashes(crashed []*brokenServer) {
	now := time.Now()
	names := make([]string, len(crashed))
	for i, b := range crashed {
		names[i] = fmt.Sprintf("%s/%d", b.server.ID, b.server.Born)
	}
	var crashes []quarantine.Crash
	for i, b := range crashed {
		for _, r := range b.requests {
			c := quarantine.Crash{Server: names[i], Request: r.id, Beside: slices.Delete(slices.Clone(names), i, i+1)}
			for n, id := range r.shared[:min(len(r.shared), len(r.parts))] {
				c.Parts = append(c.Parts, quarantine.Part{ID: id, Name: r.parts[n]})
			}
			crashes = append(crashes, c)
		}
	}
	q.tracker.RecordCrashes(crashes, now)
}

// causeQuarantined is the cause of refusals of requests with a quarantined part.
const causeQuarantined = "prompt_part_quarantined"

// sharedParts returns the IDs of the parts that other requests may share: all but the last one, which
// belongs to the request alone.
func sharedParts(parts []PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	out := make([]uint64, len(parts)-1)
	for i := range out {
		out[i] = parts[i].ID
	}
	return out
}

// passesQuarantine reports whether the request may be sent. If not, it answers the request.
func (q *request) passesQuarantine(now time.Time) bool {
	if q.isProbe {
		return true
	}
	v := q.g.quarantine.tracker.Check(q.sharedParts, now)
	if !v.Blocked {
		return true
	}
	if len(v.Due) > 0 && q.sends == 0 && q.g.quarantine.claimProbe(q.ctx, v.Due) {
		q.isProbe = true
		q.g.log.WithFields(logrus.Fields{"request": q.metadata.ID, "part": v.Part.Name}).Warn("probe of a quarantined prompt part")
		return true
	}
	q.quarantinedPart = v.Part.Name
	cause := q.joinCause(causeQuarantined)
	if q.runs == 0 && !q.reply.started {
		q.refuse(cause, v.RetryAfter)
	} else {
		q.giveUp(cause)
	}
	return false
}

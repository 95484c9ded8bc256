package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/route"
)

// Source is the store that holds the configuration and the registrations, with their decoder.
type Source interface {
	external.KV
	Decoder
	Epochs
}

// Epochs tells the epoch of the store.
type Epochs interface {
	// Epoch returns the latest epoch that a response had. It counts from 0 in each process.
	Epoch() uint64
	// Era returns the number by which the store tells its epochs, which is the same for all instances; 0 if it tells none.
	Era() uint64
}

// Decoder decodes the configuration and the registrations in the store.
type Decoder interface {
	// ConfigKey returns the key of the operator's configuration.
	ConfigKey() string
	// ServersPrefix returns the common prefix of the registrations' keys.
	ServersPrefix() string
	// Table decodes the configuration.
	Table(value []byte) (*route.Table, error)
	// Registration decodes a registration. It returns an error if the entry is not a usable backend
	// server.
	Registration(key string, value []byte) (Registration, error)
	// RegistrationID returns the backend server's ID that the key of a registration contains.
	RegistrationID(key string) string
}

const (
	// watchBatchDelay is a pause between watches that batches the registration changes from the
	// backend servers' heartbeats into one call. It is short compared with the seconds for which a
	// draining backend server keeps serving.
	watchBatchDelay = 600 * time.Millisecond
	// minRetryDelay is the initial delay between calls while the store, or each watch, fails. It doubles up to
	// maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// expiryInterval is the time between checks for lapsed registrations.
	expiryInterval = 250 * time.Millisecond
)

// StoreWatcher keeps the route table and the roster up to date from the store.
type StoreWatcher struct {
	source Source
	tables *route.ActiveTable
	roster *Roster
	// quarantine shares the watch.
	quarantine  *Quarantine
	subscribers []Subscriber
	// guard contains the panics of the loops and of the handling of single entries.
	guard *contain.Guard
	// revision is that of the last list or watch; 0 before the first list.
	revision uint64
	// watchEndedAt is when a watch last ended by a failure, or without its history.
	watchEndedAt time.Time
	log          logrus.FieldLogger
}

// Subscriber gets the entries of the store whose keys have a prefix. It shares the watch of the StoreWatcher, because
// each open watch is a billed call.
type Subscriber interface {
	Prefix() string
	// Replace is called with all entries after a list.
	Replace(entries []external.KVEntry)
	// Apply is called for each change.
	Apply(e external.KVEvent)
}

// Subscribe adds a subscriber. It must be called before Run.
func (f *StoreWatcher) Subscribe(s Subscriber) { f.subscribers = append(f.subscribers, s) }

// NewStoreWatcher returns a StoreWatcher.
func NewStoreWatcher(s Source, t *route.ActiveTable, r *Roster, q *Quarantine, guard *contain.Guard, log logrus.FieldLogger) *StoreWatcher {
	return &StoreWatcher{source: s, tables: t, roster: r, quarantine: q, guard: guard, log: log}
}

// Run watches the store until the context ends.
func (f *StoreWatcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.guard.Loop("store watch", f.listAndWatch)(ctx) })
	wg.Go(func() { f.guard.Loop("registration expiry", f.dropLapsed)(ctx) })
	wg.Wait()
}

// listAndWatch lists the configuration and the registrations and then watches the store. Both share
// one watch, because each open watch is a billed call. A failed watch is followed by a new list and
// is not a store failure: a watch may be cut, or its history compacted, while the store is healthy.
// Only a failed list counts as a store failure for the roster.
func (f *StoreWatcher) listAndWatch(ctx context.Context) {
	delay, storeLost := minRetryDelay, false
	waitToRetry := func() {
		pause.For(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
	for ctx.Err() == nil {
		started := time.Now()
		revision, err := f.list(ctx)
		if err != nil {
			// The store was still failing when this call began. The time of the error says little:
			// a call can wait for its timeout after the store has recovered.
			f.roster.StoreFailed(started)
			if !storeLost {
				f.log.WithError(err).Warn("store lost")
			}
			storeLost = true
			waitToRetry()
			continue
		}
		if storeLost {
			f.log.WithField("revision", revision).Info("store regained")
		}
		storeLost = false
		listed := time.Now()
		f.roster.StoreConfirmed(listed)
		f.watch(ctx, revision)
		if time.Since(listed) > maxRetryDelay {
			delay = minRetryDelay
			continue
		}
		// The store may cut each watch at once.
		waitToRetry()
	}
}

// allKeys is the prefix of all keys.
const allKeys = ""

// list loads the current state with one list, because each is a billed call, and returns the revision from
// which to watch.
func (f *StoreWatcher) list(ctx context.Context) (uint64, error) {
	entries, revision, err := f.source.List(ctx, allKeys)
	if err != nil {
		return 0, err
	}
	newEpoch := f.revision != 0 && external.EpochOf(revision) != external.EpochOf(f.revision)
	var restored restoredStore
	if newEpoch {
		restored = f.beginEpoch()
	}
	f.revision = revision
	f.roster.NoteEra(f.source.Era())
	var servers, records []external.KVEntry
	for _, e := range entries {
		switch {
		case e.Key == f.source.ConfigKey():
			f.applyConfig(external.KVEvent{KVEntry: e})
		case strings.HasPrefix(e.Key, f.source.ServersPrefix()):
			servers = append(servers, e)
		case strings.HasPrefix(e.Key, quarantinePrefix):
			records = append(records, e)
		}
	}
	f.replaceServers(servers)
	f.contain(func() { f.quarantine.replace(records, newEpoch) })
	for _, s := range f.subscribers {
		f.contain(func() { f.replaceSubscribed(s, entries) })
	}
	if newEpoch {
		f.logEpoch(restored, entries)
	}
	return revision, nil
}

// restoredStore is what was known before the store came back from an older copy.
type restoredStore struct {
	era, revision uint64
	// ended is the number of runs of backend servers that have ended, whose old entries are not believed.
	ended int
	// rewrites is the number of records that this instance had written again.
	rewrites int
}

// beginEpoch prepares for a list of a store that has come back from an older copy: what it lacks may only be lost with the
// store, and what it has again may be gone.
func (f *StoreWatcher) beginEpoch() restoredStore {
	return restoredStore{
		era: f.roster.Era(), revision: f.revision, ended: f.roster.BeginEpoch(f.watchEndedAt), rewrites: f.quarantine.tracker.Rewrites(),
	}
}

// logEpoch logs what became of the state after the first list of a new epoch.
func (f *StoreWatcher) logEpoch(before restoredStore, entries []external.KVEntry) {
	log := f.log.WithFields(logrus.Fields{
		"era": f.source.Era(), "era_before": before.era, "revision": external.NumberOf(f.revision),
		"revision_before": external.NumberOf(before.revision), "ended_servers": before.ended, "missing_servers": f.roster.Lapsed(),
		"records_written_again": f.quarantine.tracker.Rewrites() - before.rewrites,
	})
	if t := f.tables.Table(); t != nil {
		log = log.WithField("config", t.Version)
	}
	for _, e := range entries {
		if e.Key != f.source.ConfigKey() {
			continue
		}
		if t, err := f.decodeTable(e.Value); err == nil {
			log = log.WithField("stored_config", t.Version)
		}
	}
	log.Warn("the store has come back from an older copy; what is known stays until it is written again")
}

// replaceSubscribed passes the entries of a list to a subscriber.
func (f *StoreWatcher) replaceSubscribed(s Subscriber, entries []external.KVEntry) {
	s.Replace(slices.DeleteFunc(slices.Clone(entries), func(e external.KVEntry) bool { return !strings.HasPrefix(e.Key, s.Prefix()) }))
}

// contain keeps an entry that cannot be handled from ending the watch, which would fail at it again after each list. It
// reports whether handle returned.
func (f *StoreWatcher) contain(handle func()) bool { return f.guard.Call("store entry", handle) }

func (f *StoreWatcher) watch(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		started := time.Now()
		events, next, err := f.source.Watch(ctx, allKeys, revision)
		switch {
		case errors.Is(err, external.ErrNewEpoch):
			// The store has answered, so it may have come back at any time since the last answer.
			return
		case errors.Is(err, external.ErrCompacted):
			f.watchEndedAt = time.Now()
			f.log.WithField("revision", revision).Info("history compacted; listing again")
			return
		case err != nil:
			f.watchEndedAt = time.Now()
			if ctx.Err() == nil {
				f.log.WithError(err).Info("watch ended, listing again")
			}
			return
		}
		f.roster.StoreConfirmed(time.Now())
		f.applyEvents(events)
		revision, f.revision = next, next
		// An answer without events comes at the end of the wait, unless the store doesn't wait.
		if len(events) > 0 || time.Since(started) < watchBatchDelay {
			pause.For(ctx, watchBatchDelay)
		}
	}
}

func (f *StoreWatcher) applyConfig(e external.KVEvent) {
	if e.Key != f.source.ConfigKey() {
		return
	}
	log := f.log.WithField("revision", e.Revision)
	if e.Deleted {
		log.Warn("configuration deleted; the last one stays in force")
		return
	}
	t, err := f.decodeTable(e.Value)
	if err != nil {
		log.WithError(err).Error("configuration unreadable; the last one stays in force")
		return
	}
	if f.tables.Offer(t) {
		if t.AccountFaults != nil {
			log.WithError(t.AccountFaults).Error("configuration has invalid client accounts; the rest is in force")
		}
		for _, fault := range t.Faults {
			log.WithError(fault).Error("configuration has an invalid service; the rest is in force")
		}
		log.WithFields(logrus.Fields{"config": t.Version, "routes": t.Len(), "services": len(t.Services), "accounts": t.Accounts.Len()}).Info("configuration in force")
	}
}

// errDecoderFailed means that the decoder panicked at a value.
var errDecoderFailed = errors.New("decoder failed unexpectedly")

func (f *StoreWatcher) decodeTable(value []byte) (t *route.Table, err error) {
	if !f.contain(func() { t, err = f.source.Table(value) }) {
		return nil, errDecoderFailed
	}
	return t, err
}

func (f *StoreWatcher) replaceServers(entries []external.KVEntry) {
	regs := make([]Registration, 0, len(entries))
	invalid := 0
	for _, e := range entries {
		if reg, ok := f.decodeRegistration(e, &invalid); ok {
			regs = append(regs, reg)
		}
	}
	f.roster.Replace(regs, time.Now())
	f.log.WithFields(logrus.Fields{"registered": len(regs), "entries": len(entries), "invalid": invalid}).Info("backend servers listed")
}

// decodeRegistration decodes a registration. invalid counts the entries of one response of the store that name no
// backend server; it limits their log lines.
func (f *StoreWatcher) decodeRegistration(e external.KVEntry, invalid *int) (Registration, bool) {
	var reg Registration
	var err error
	if !f.contain(func() { reg, err = f.source.Registration(e.Key, e.Value) }) {
		err = errDecoderFailed
	}
	if err == nil {
		return reg, true
	}
	if *invalid++; *invalid <= maxInvalidLines {
		f.log.WithFields(logrus.Fields{"error": err.Error(), "key": e.Key}).Warn("registration names no backend server")
	}
	return Registration{}, false
}

// maxInvalidLines limits the log lines per response of the store about entries that name no backend server.
const maxInvalidLines = 5

// applyEvents applies the events of one watch response.
func (f *StoreWatcher) applyEvents(events []external.KVEvent) {
	var changes []Change
	var revisions []uint64
	invalid := 0
	for _, e := range events {
		for _, s := range f.subscribers {
			if strings.HasPrefix(e.Key, s.Prefix()) {
				f.contain(func() { s.Apply(e) })
			}
		}
		switch {
		case e.Key == f.source.ConfigKey():
			f.applyConfig(e)
		case strings.HasPrefix(e.Key, quarantinePrefix):
			f.contain(func() { f.quarantine.apply(e) })
		case strings.HasPrefix(e.Key, f.source.ServersPrefix()):
			c := Change{ID: f.source.RegistrationID(e.Key)}
			if !e.Deleted {
				if reg, ok := f.decodeRegistration(e.KVEntry, &invalid); ok {
					c.Registration = &reg
				}
			}
			changes, revisions = append(changes, c), append(revisions, e.Revision)
		}
	}
	if len(changes) > 0 {
		f.logChanges(changes, revisions, f.roster.Apply(changes, time.Now()))
	}
}

// maxChangeLines limits the log lines per watch response: thousands of backend servers may start
// together, and each gateway instance would log a line for each of them.
const maxChangeLines = 20

func (f *StoreWatcher) logChanges(changes []Change, revisions []uint64, applied []bool) {
	registered, gone, lines := 0, 0, 0
	for i, c := range changes {
		reg := c.Registration
		if reg != nil && !applied[i] {
			continue
		}
		if reg != nil {
			registered++
		} else {
			gone++
		}
		if lines++; lines > maxChangeLines {
			continue
		}
		log := f.log.WithFields(logrus.Fields{"server": c.ID, "revision": revisions[i]})
		if reg == nil {
			log.WithField("dropped", applied[i]).Info("registration gone")
			continue
		}
		log.WithFields(logrus.Fields{
			"service": reg.Service, "address": reg.Address, "data_centre": reg.DataCentre, "role": reg.Role,
			"draining": reg.Draining, "born": reg.Born,
		}).Info("backend server registered")
	}
	if lines > maxChangeLines {
		f.log.WithFields(logrus.Fields{"registered": registered, "gone": gone, "lines_left_out": lines - maxChangeLines}).Info("many registrations changed")
	}
}

func (f *StoreWatcher) dropLapsed(ctx context.Context) {
	held := 0
	for pause.For(ctx, expiryInterval) {
		if now := f.roster.HeldBack(); now != held {
			held = now
			f.log.WithField("entries", held).Warn("entries of backend servers are held back because newer ones were seen, or because they name another service than their run has")
		}
		for _, id := range f.roster.Expire(time.Now()) {
			f.log.WithField("server", id).Info("lapsed registration did not return")
		}
	}
}

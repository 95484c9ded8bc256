package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/route"
)

// Source is the store with what the operator and the backend servers write to it.
type Source interface {
	external.KV
	Decoder
}

// Decoder decodes what the operator and the backend servers write to the store.
type Decoder interface {
	// ConfigKey is the key of the operator's configuration.
	ConfigKey() string
	// ServersPrefix begins the keys of registrations.
	ServersPrefix() string
	Table(value []byte) (*route.Table, error)
	// Registration returns an error for an entry that names no backend server to use.
	Registration(key string, value []byte) (Registration, error)
	// RegistrationID returns the backend server that a key names.
	RegistrationID(key string) string
}

const (
	// watchPause gathers changes of registrations, which come with each beat of each backend server,
	// into one call. It is a small part of the seconds that a leaving backend server keeps serving.
	watchPause = 600 * time.Millisecond
	// retryPause is the least time between two calls while the store fails. The pause doubles up to
	// maxRetryPause.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// expireInterval is the time between looks for lapsed registrations and idle connections.
	expireInterval = 250 * time.Millisecond
)

// Feed keeps the route table and the roster up to date from the store.
type Feed struct {
	source Source
	tables *route.Holder
	roster *Roster
	log    logrus.FieldLogger
}

// NewFeed returns a feed.
func NewFeed(s Source, t *route.Holder, r *Roster, log logrus.FieldLogger) *Feed {
	return &Feed{source: s, tables: t, roster: r, log: log}
}

// Run follows the store until the context ends.
func (f *Feed) Run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error {
		f.follow(ctx)
		return nil
	})
	g.Go(func() error {
		f.expire(ctx)
		return nil
	})
	_ = g.Wait()
}

// follow lists the configuration and the registrations and then watches the store. One watch serves
// both, because each waiting watch is a call that is paid for. A watch that fails is followed by a
// list: a watch may be cut or its history be gone while the store is well. Only a list that fails
// disturbs the roster.
func (f *Feed) follow(ctx context.Context) {
	wait, lost := retryPause, false
	for ctx.Err() == nil {
		started := time.Now()
		revision, err := f.list(ctx)
		if err != nil {
			// The disturbance ended no earlier than this call began. When it fails tells little: a call
			// can wait for its time-out while the store is back.
			f.roster.Disturbed(started)
			if !lost {
				f.log.WithError(err).Warn("store lost")
			}
			lost = true
			pause.For(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxRetryPause)
			continue
		}
		if lost {
			f.log.WithField("revision", revision).Info("store regained")
		}
		lost, wait = false, retryPause
		f.roster.Confirmed(time.Now())
		f.watch(ctx, revision)
	}
}

// list takes the present state and returns the revision from which to watch.
func (f *Feed) list(ctx context.Context) (uint64, error) {
	config, revision, err := f.source.List(ctx, f.source.ConfigKey())
	if err != nil {
		return 0, err
	}
	for _, e := range config {
		f.configEvent(external.Event{Entry: e})
	}
	servers, _, err := f.source.List(ctx, f.source.ServersPrefix())
	if err != nil {
		return 0, err
	}
	f.listServers(servers)
	return revision, nil
}

// everything is the prefix of all keys.
const everything = ""

func (f *Feed) watch(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		events, next, err := f.source.Watch(ctx, everything, revision)
		switch {
		case errors.Is(err, external.ErrCompacted):
			f.log.WithField("revision", revision).Info("history compacted; list again")
			return
		case err != nil:
			if ctx.Err() == nil {
				f.log.WithError(err).Info("watch ended; list again")
			}
			return
		}
		f.roster.Confirmed(time.Now())
		f.take(events)
		revision = next
		if len(events) > 0 {
			pause.For(ctx, watchPause)
		}
	}
}

func (f *Feed) configEvent(e external.Event) {
	if e.Key != f.source.ConfigKey() {
		return
	}
	log := f.log.WithField("revision", e.Revision)
	if e.Deleted {
		log.Warn("configuration deleted; the last one stays in force")
		return
	}
	t, err := f.source.Table(e.Value)
	if err != nil {
		log.WithError(err).Error("configuration unreadable; the last one stays in force")
		return
	}
	if f.tables.Offer(t) {
		log.WithFields(logrus.Fields{"config": t.Version, "routes": t.Len(), "services": len(t.Services)}).Info("configuration in force")
	}
}

func (f *Feed) listServers(entries []external.Entry) {
	regs := make([]Registration, 0, len(entries))
	for _, e := range entries {
		if reg, ok := f.registration(e); ok {
			regs = append(regs, reg)
		}
	}
	f.roster.Replace(regs, time.Now())
	f.log.WithFields(logrus.Fields{"registered": len(regs), "entries": len(entries)}).Info("backend servers listed")
}

func (f *Feed) registration(e external.Entry) (Registration, bool) {
	reg, err := f.source.Registration(e.Key, e.Value)
	if err != nil {
		f.log.WithError(err).WithField("key", e.Key).Warn("registration names no backend server")
	}
	return reg, err == nil
}

// take brings the events of one answer into force.
func (f *Feed) take(events []external.Event) {
	var changes []Change
	var revisions []uint64
	for _, e := range events {
		switch {
		case e.Key == f.source.ConfigKey():
			f.configEvent(e)
		case strings.HasPrefix(e.Key, f.source.ServersPrefix()):
			c := Change{ID: f.source.RegistrationID(e.Key)}
			if !e.Deleted {
				if reg, ok := f.registration(e.Entry); ok {
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

// maxChangeLines bounds the lines about changes that one answer brings. Thousands of backend servers
// start together, and each entry would write a line for each of them.
const maxChangeLines = 20

func (f *Feed) logChanges(changes []Change, revisions []uint64, done []bool) {
	registered, gone, lines := 0, 0, 0
	for i, c := range changes {
		reg := c.Registration
		if reg != nil && !done[i] {
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
			log.WithField("dropped", done[i]).Info("registration gone")
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

func (f *Feed) expire(ctx context.Context) {
	for pause.For(ctx, expireInterval) {
		for _, id := range f.roster.Expire(time.Now()) {
			f.log.WithField("server", id).Info("lapsed registration did not return")
		}
	}
}

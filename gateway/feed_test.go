package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/route"
)

// poisonSource is a store with one entry in its list and one in its watch, beside others, at which handling panics.
type poisonSource struct {
	external.KV
	lists int
}

func (s *poisonSource) List(context.Context, string) ([]external.KVEntry, uint64, error) {
	if s.lists++; s.lists == 1 {
		panic("list")
	}
	return entriesOf("config", "servers/poison", "servers/listed", "usage/poison", "usage/listed"), 1, nil
}

func (s *poisonSource) Watch(ctx context.Context, _ string, revision uint64) ([]external.KVEvent, uint64, error) {
	if revision > 1 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	var events []external.KVEvent
	for _, e := range entriesOf("config", "servers/poison", "servers/watched", "usage/poison", "usage/watched") {
		events = append(events, external.KVEvent{KVEntry: e})
	}
	return events, 2, nil
}

func entriesOf(keys ...string) (entries []external.KVEntry) {
	for _, k := range keys {
		entries = append(entries, external.KVEntry{Key: k})
	}
	return entries
}

func (*poisonSource) Epoch() uint64                      { return 0 }
func (*poisonSource) Era() uint64                        { return 0 }
func (*poisonSource) ConfigKey() string                  { return "config" }
func (*poisonSource) ServersPrefix() string              { return "servers/" }
func (*poisonSource) RegistrationID(key string) string   { return strings.TrimPrefix(key, "servers/") }
func (*poisonSource) Table([]byte) (*route.Table, error) { panic("configuration") }

func (s *poisonSource) Registration(key string, _ []byte) (Registration, error) {
	if strings.HasSuffix(key, "poison") {
		panic("registration")
	}
	return Registration{ID: s.RegistrationID(key), Service: "s", Address: "10.0.0.1:1", Slots: 1}, nil
}

// poisonSubscriber panics at some entries and records the others.
type poisonSubscriber struct{ seen []string }

func (*poisonSubscriber) Prefix() string { return "usage/" }

func (s *poisonSubscriber) Replace(entries []external.KVEntry) {
	for _, e := range entries {
		s.seen = append(s.seen, e.Key)
	}
	panic("list of a subscriber")
}

func (s *poisonSubscriber) Apply(e external.KVEvent) {
	if strings.HasSuffix(e.Key, "poison") {
		panic("event of a subscriber")
	}
	s.seen = append(s.seen, e.Key)
}

// Guards against an entry of the store that ends the process, or that keeps the entries beside it from being applied.
func TestEntriesThatCannotBeHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		panics := map[string]int{}
		guard := contain.New(log, func(task string) { panics[task]++ })
		roster, subscriber := NewRoster(), &poisonSubscriber{}
		w := NewStoreWatcher(&poisonSource{}, &route.ActiveTable{}, roster, NewQuarantine("edge-1", nil, log), guard, log)
		w.Subscribe(subscriber)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		w.Run(ctx)
		require.Equal(t, 1, panics["store watch"])
		require.Equal(t, 6, panics["store entry"])
		require.Equal(t, 2, roster.Len())
		require.Equal(t, []string{"usage/poison", "usage/listed", "usage/watched"}, subscriber.seen)
	})
}

// Guards against a panic in one loop of the watcher that ends the process or the other loop.
func TestExpiryIsContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		panics := 0
		guard := contain.New(log, func(string) { panics++ })
		roster := NewRoster()
		roster.lifetimes.byID["i"] = nil // a state that no sequence of entries leads to
		w := NewStoreWatcher(&poisonSource{lists: 1}, &route.ActiveTable{}, roster, NewQuarantine("edge-1", nil, log), guard, log)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		w.Run(ctx)
		require.Greater(t, panics, 30)
		require.Equal(t, 2, roster.Len())
	})
}

// restlessSource is a store whose watches end at once.
type restlessSource struct {
	poisonSource
	err            error
	lists, watches int
	// limit is the number of calls after which end is called.
	limit int
	end   func()
}

func (s *restlessSource) called() {
	if s.lists+s.watches >= s.limit {
		s.end()
	}
}

func (s *restlessSource) List(context.Context, string) ([]external.KVEntry, uint64, error) {
	s.lists++
	s.called()
	return nil, 1, nil
}

func (s *restlessSource) Watch(_ context.Context, _ string, revision uint64) ([]external.KVEvent, uint64, error) {
	s.watches++
	s.called()
	return nil, revision, s.err
}

// Guards against calls of the store without a pause, which it limits and bills, while its watches end at once.
func TestWatchesThatEndAtOnce(t *testing.T) {
	for name, err := range map[string]error{"empty": nil, "cut": io.ErrUnexpectedEOF, "compacted": external.ErrCompacted, "new epoch": external.ErrNewEpoch} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				guard := contain.New(log, func(string) {})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				s := &restlessSource{err: err, limit: 10_000, end: cancel}
				w := NewStoreWatcher(s, &route.ActiveTable{}, NewRoster(), NewQuarantine("edge-1", nil, log), guard, log)
				w.Run(ctx)
				require.Less(t, s.lists+s.watches, 6*60, "calls in a minute")
				require.Greater(t, s.lists+s.watches, 60, "calls in a minute")
			})
		})
	}
}

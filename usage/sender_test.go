package usage

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/lease"
)

// senderEnv is a sender with a holder and another instance that answer as the test wants.
type senderEnv struct {
	*Sender

	mu       sync.Mutex
	noHolder bool
	// unreachable is true while the holder does not answer.
	unreachable bool
	// asked and delivered are the times of the questions to the other instance and of the messages that the holder took.
	asked, delivered []time.Time
}

const (
	testHolderAddress = "10.1.0.1:9000"
	testPeerAddress   = "10.1.0.2:9000"
)

// startSender starts a sender whose instance has runs all the time.
func startSender(t *testing.T, kv external.KV) *senderEnv {
	e := &senderEnv{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	clock := NewClock(time.Now, func() time.Duration { return time.Since(started) })
	counter := NewCounter(testWindows, clock.Now)
	local := NewHolder(HolderConfig{Instance: "edge-3", Pool: "roles", Windows: testWindows, Leases: e, Current: e.holder, Clock: clock, Log: log})
	e.Sender = NewSender(SenderConfig{
		Instance: "edge-3", Address: "10.1.0.3:9000", Windows: testWindows, Counter: counter, Clock: clock, Holder: e.holder, Local: local,
		Peers: e, KV: kv, Log: log,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { e.Run(ctx) })
	loops.Go(func() { e.RunStore(ctx) })
	loops.Go(func() {
		for ctx.Err() == nil {
			counter.RunBegan("huka", time.Now())
			time.Sleep(100 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
	return e
}

func (e *senderEnv) holder() (r lease.HolderRecord, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return lease.HolderRecord{Holder: "edge-1", Session: "1", Address: testHolderAddress}, !e.noHolder
}

// Authority implements Authority.
func (e *senderEnv) Authority(string) (lease.Authority, bool) { return lease.Authority{}, false }

// Send implements Peers.
func (e *senderEnv) Send(_ context.Context, address string, m *Message) (Ack, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case address == testPeerAddress:
		e.asked = append(e.asked, time.Now())
		return Ack{NotHolder: true}, nil
	case e.unreachable:
		return Ack{}, errors.New("no route")
	default:
		e.delivered = append(e.delivered, time.Now())
		return Ack{Instances: 3, Clock: m.Clock, Peers: []string{testPeerAddress}}, nil
	}
}

// Reset implements Peers.
func (e *senderEnv) Reset() {}

// set changes the state of the holder.
func (e *senderEnv) set(noHolder, unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noHolder, e.unreachable = noHolder, unreachable
}

// silentStore is a store that does not answer.
type silentStore struct{ external.KV }

func (silentStore) GrantLease(ctx context.Context, _ time.Duration) (external.LeaseID, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// Guards against counts that reach the holder late because the instance waits for the store, to which it writes them while
// the holder is out of reach.
func TestCountsDoNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startSender(t, silentStore{})
		time.Sleep(testWindows.Length)
		e.set(false, true)
		for !e.storing.Load() {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		e.set(false, false)
		reachable := time.Now()
		time.Sleep(2 * resendDelay)
		synctest.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		require.True(t, e.delivered[len(e.delivered)-1].After(reachable), "no message in %v", 2*resendDelay)
	})
}

// Guards against an instance that learns late which instance holds the lease after an outage of the store: its counts miss
// the report of a window that is due then.
func TestInstancesWithoutHolderAskSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startSender(t, silentStore{})
		time.Sleep(testWindows.Length)
		e.set(true, false)
		time.Sleep(4 * askAfter)
		e.mu.Lock()
		defer e.mu.Unlock()
		require.NotEmpty(t, e.asked)
		for i := 1; i < len(e.asked); i++ {
			require.LessOrEqual(t, e.asked[i].Sub(e.asked[i-1]), 2*resendDelay, "between two questions")
		}
	})
}

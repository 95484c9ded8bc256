package once_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	quetzallugv1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/standin/kv"
)

func claim(key, id string) once.Request {
	return once.Request{Service: service, Key: key, RequestID: id, Action: once.ActionClaim, Fingerprint: 7}
}

func withAction(r once.Request, a once.Action) once.Request {
	r.Action = a
	return r
}

// Guards against states and actions whose values differ from those of the wire protocol, which converts
// them by number.
func TestValuesEqualProtocol(t *testing.T) {
	for state, want := range map[once.State]quetzallugv1.ClaimState{
		once.StateNone:        quetzallugv1.ClaimState_CLAIM_STATE_UNSPECIFIED,
		once.StateGranted:     quetzallugv1.ClaimState_CLAIM_STATE_GRANTED,
		once.StateHeld:        quetzallugv1.ClaimState_CLAIM_STATE_HELD,
		once.StateComplete:    quetzallugv1.ClaimState_CLAIM_STATE_COMPLETE,
		once.StateMismatch:    quetzallugv1.ClaimState_CLAIM_STATE_MISMATCH,
		once.StateUnavailable: quetzallugv1.ClaimState_CLAIM_STATE_UNAVAILABLE,
		once.StateUnknown:     quetzallugv1.ClaimState_CLAIM_STATE_UNKNOWN,
		once.StateExpired:     quetzallugv1.ClaimState_CLAIM_STATE_EXPIRED,
	} {
		require.EqualValues(t, want, state)
	}
	require.EqualValues(t, quetzallugv1.ClaimAction_CLAIM_ACTION_CLAIM, once.ActionClaim)
	require.EqualValues(t, quetzallugv1.ClaimAction_CLAIM_ACTION_COMPLETE, once.ActionComplete)
	require.EqualValues(t, quetzallugv1.ClaimAction_CLAIM_ACTION_RELEASE, once.ActionRelease)
}

// Guards against a result that contradicts the recorded state of the key.
func TestStatesOfOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		do := func(r once.Request) once.Result { return c.entries[0].committer.Do(t.Context(), r) }
		a, b := claim("k", "a"), claim("k", "b")
		other := b
		other.Fingerprint = 8
		done := withAction(a, once.ActionComplete)
		done.Answer = once.Answer{Status: 201, ContentType: "text/plain", Body: []byte("on")}

		require.Equal(t, once.StateNone, do(withAction(a, once.ActionRelease)).State)
		require.Equal(t, once.StateGranted, do(a).State)
		require.Equal(t, once.StateGranted, do(a).State, "a repeated claim of the same request")
		require.Equal(t, once.StateHeld, do(b).State)
		require.Equal(t, once.StateMismatch, do(other).State)
		require.Equal(t, once.StateHeld, do(withAction(b, once.ActionRelease)).State, "release by another request")
		require.Equal(t, once.StateNone, do(withAction(a, once.ActionRelease)).State)
		require.Equal(t, once.StateGranted, do(b).State, "a released key is usable")
		require.Equal(t, once.StateHeld, do(done).State, "completion by another request")
		done.RequestID = "b"
		require.Equal(t, once.StateComplete, do(done).State)
		require.Equal(t, once.Result{State: once.StateComplete, Answer: done.Answer}, do(a))
		require.Equal(t, once.StateComplete, do(withAction(b, once.ActionRelease)).State, "a late release")
	})
}

// Guards against time-ordered keys that are accepted outside the retention period and skew bound, and
// against a key that is granted a second time while it is still accepted.
func TestTimeOrderedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		c := newCluster(1, settings)
		state := func(key, id string) once.State { return c.entries[0].committer.Do(t.Context(), claim(key, id)).State }
		now := time.Now()
		require.Equal(t, once.StateExpired, state(uuidAt(now.Add(settings.Skew+time.Second), 1), "a"))
		require.Equal(t, once.StateExpired, state(uuidAt(now.Add(-settings.Retention-time.Second), 2), "a"))
		key := uuidAt(now.Add(settings.Skew), 3)
		require.Equal(t, once.StateGranted, state(key, "a"))
		for i := range 30 {
			for j := range 4 {
				state(fmt.Sprint("filler", i, j), "f")
			}
			want := once.StateHeld
			if time.Since(now) > settings.Retention+settings.Skew {
				want = once.StateExpired
			}
			require.Equal(t, want, state(key, fmt.Sprint("b", i)), "after %s", time.Since(now))
			if i == 23 {
				// The key is still accepted, but its claim is already older than the retention period.
				time.Sleep(time.Until(now.Add(settings.Retention + 30*time.Second)))
				require.Equal(t, once.StateHeld, state(key, "c"))
			}
			time.Sleep(time.Hour)
		}
	})
}

// Guards against a claim that expires in the open record while its key is still accepted: the timestamp
// of the key is ahead of its claim by the skew bound.
func TestOpenClaimOutlivesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		c := newCluster(1, settings)
		key := uuidAt(time.Now().Add(settings.Skew), 3)
		require.Equal(t, once.StateGranted, c.entries[0].committer.Do(t.Context(), claim(key, "a")).State)
		time.Sleep(settings.Retention + settings.Skew/2)
		require.Equal(t, once.StateHeld, c.entries[0].committer.Do(t.Context(), claim(key, "b")).State)
	})
}

// Guards against records that grow without bound, and sealed records that are never deleted.
func TestRecordsStayBoundedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.RotateBytes = 4 << 10
		c := newCluster(1, settings)
		maxRecords := 0
		for day := range 3 {
			for i := range 400 {
				r := claim(fmt.Sprint("key-", day, "-", i), "a")
				require.Equal(t, once.StateGranted, c.entries[0].committer.Do(t.Context(), r).State)
				time.Sleep(3 * time.Minute)
			}
			entries, _, err := c.store.List(t.Context(), "once/"+service+"/0")
			require.NoError(t, err)
			maxRecords = max(maxRecords, len(entries))
			for _, e := range entries {
				require.Less(t, len(e.Value), 2*settings.RotateBytes)
			}
		}
		require.Less(t, maxRecords, 20, "records of one shard")
	})
}

// Guards against processes with different numbers of shards in their settings that look for the same key
// in different records, and are all granted it.
func TestRecordedNumberOfShardsApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore(kv.Limits{})
		granted := 0
		for i := range 8 {
			settings := once.DefaultSettings()
			settings.Shards = i + 1
			c, err := once.NewCommitter(store, settings, discardLogger())
			require.NoError(t, err)
			if c.Do(t.Context(), claim("pump-7", fmt.Sprint(i))).State == once.StateGranted {
				granted++
			}
			require.Equal(t, 1, c.Shards(service))
		}
		require.Equal(t, 1, granted)
	})
}

// Guards against a claim that the owner releases because its Do call has ended. The owner records the
// claim after the call has timed out, and the same request is granted the claim through another process:
// a later request must still find it.
func TestClaimOutlivesItsWaitingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, testSettings())
		owner, other := c.entries[0].committer, c.entries[1].committer
		c.entries[0].inject("open.swap", slowResponse)
		callerCtx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		require.Equal(t, once.StateUnknown, owner.Do(callerCtx, claim("k", "a")).State)
		require.Equal(t, once.StateGranted, other.Do(t.Context(), claim("k", "a")).State)
		settle()
		require.Equal(t, once.StateHeld, owner.Do(t.Context(), claim("k", "b")).State)
	})
}

// A claim whose Do call ends is StateUnknown while its batch is being written, and StateUnavailable while
// it is queued.
func TestWithdrawnClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		e := c.entries[0]
		require.Equal(t, once.StateGranted, e.committer.Do(t.Context(), claim("warm", "a")).State)
		e.inject("open.swap", slowResponse)
		results := make(chan once.State, 2)
		go func() { results <- e.committer.Do(ctxFor(20*time.Millisecond), claim("k", "a")).State }()
		time.Sleep(10 * time.Millisecond)
		go func() { results <- e.committer.Do(ctxFor(20*time.Millisecond), claim("l", "a")).State }()
		require.Equal(t, once.StateUnknown, <-results)
		require.Equal(t, once.StateUnavailable, <-results)
		settle()
		require.Equal(t, once.StateHeld, e.committer.Do(t.Context(), claim("k", "b")).State)
		require.Equal(t, once.StateGranted, e.committer.Do(t.Context(), claim("l", "b")).State)
	})
}

// Guards against results from a cached record that another process has changed.
func TestStaleRecordIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, testSettings())
		a, b := c.entries[0].committer, c.entries[1].committer
		require.Equal(t, once.StateGranted, a.Do(t.Context(), claim("k", "a")).State)
		require.Equal(t, once.StateNone, b.Do(t.Context(), withAction(claim("k", "a"), once.ActionRelease)).State)
		require.Equal(t, once.StateGranted, b.Do(t.Context(), claim("k", "b")).State)
		require.Equal(t, once.StateHeld, a.Do(t.Context(), claim("k", "a")).State, "a claim that was released elsewhere")
	})
}

// Guards against an open record that is replaced before its claims are stored in a sealed record, which
// would make their keys usable again.
func TestSealedBeforeReplaced(t *testing.T) {
	for _, f := range []fault{refused, lostRequest, lostResponse, late, killBefore, killAfter} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(2, testSettings())
			c.entries[0].inject("segment.swap", f)
			states := map[string]once.State{}
			for i := range 8 {
				key := fmt.Sprint("k", i)
				states[key] = c.entries[0].committer.Do(t.Context(), claim(key, "a")).State
			}
			settle()
			require.Equal(t, 1, c.injected)
			for key, state := range states {
				got := c.entries[1].committer.Do(t.Context(), claim(key, "b")).State
				if state == once.StateGranted {
					require.Equal(t, once.StateHeld, got, "%s: %s", f, key)
				} else {
					require.Contains(t, []once.State{once.StateGranted, once.StateHeld}, got, "%s: %s", f, key)
				}
			}
		})
	}
}

// Guards against StateUnavailable for a claim that may be recorded: the owner records it, its response is
// lost, and the key-value service then refuses the sender's calls. The result must be StateUnknown.
func TestUnknownForwardIsNeverUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, testSettings())
		owner, ok := c.entries[0].router.Owner(service, "k")
		require.True(t, ok)
		sender, other := c.entries[0], c.entries[1]
		if owner.ID == sender.id {
			sender, other = other, sender
		}
		sender.serve(t.Context(), "warm", 1)
		// The completion of the first claim runs in the background, and would meet the faults in its place.
		settle()
		sender.inject("forward", lostResponse)
		sender.inject("open.get", refused, refused, refused, refused, refused, refused, refused, refused, refused,
			refused, refused, refused, refused, refused, refused, refused, refused, refused, refused, refused)
		require.Equal(t, once.StateUnknown, sender.router.Do(t.Context(), claim("k", "a")).State)
		settle()
		require.Equal(t, once.StateHeld, other.committer.Do(t.Context(), claim("k", "b")).State)
	})
}

// Guards against an unavailable shard if its owner, but no other entry, has lost the key-value service.
func TestOwnerWithoutServiceIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, testSettings())
		owner, ok := c.entries[0].router.Owner(service, "k")
		require.True(t, ok)
		for _, e := range c.entries {
			for range 100 {
				if e.id == owner.ID {
					e.inject("layout.get", refused)
					e.inject("open.get", refused)
					e.inject("open.swap", refused)
				}
			}
		}
		for i, e := range c.entries {
			require.Equal(t, once.StateGranted, e.router.Do(t.Context(), claim(fmt.Sprint("k", i), "a")).State)
		}
	})
}

// unavailableForwarder records the targets of requests. Every target answers that the key-value service
// is unavailable.
type unavailableForwarder struct{ targets []external.Instance }

func (r *unavailableForwarder) Forward(_ context.Context, to external.Instance, _ once.Request) (once.Result, error) {
	r.targets = append(r.targets, to)
	return once.Result{State: once.StateUnavailable}, nil
}

// Guards against a secondary in the owner's data centre, which would fail together with it, and against
// more than two processes that write to a shard's record after an outage.
func TestChoicesOfAShard(t *testing.T) {
	var list []external.Instance
	for i := range 12 {
		list = append(list, external.Instance{
			ID: fmt.Sprint("entry-", i), Role: external.RoleEntry, State: external.InstanceLive, DataCentre: fmt.Sprint("dc-", i%3),
		})
	}
	store := kv.NewStore(kv.Limits{})
	for shards := range 20 {
		settings := once.DefaultSettings()
		settings.Shards = shards + 1
		c, err := once.NewCommitter(store, settings, discardLogger())
		require.NoError(t, err)
		r := &unavailableForwarder{}
		router := once.NewRouter("caller", func() []external.Instance { return list }, r, c)
		key := fmt.Sprint("key-", shards)
		require.Equal(t, once.StateUnavailable, router.Do(t.Context(), claim(key, "a")).State)
		require.Len(t, r.targets, 2)
		owner, _ := router.Owner(service, key)
		require.Equal(t, owner, r.targets[0])
		require.NotEqual(t, owner.DataCentre, r.targets[1].DataCentre)
	}
	require.Zero(t, store.Calls().Writes)
}

// When the key-value service is down, a claim whose write had an unknown outcome is StateUnknown, and one
// for which no write was sent is StateUnavailable.
func TestServiceDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		e := c.entries[0]
		require.Equal(t, once.StateGranted, e.committer.Do(t.Context(), claim("warm", "a")).State)
		e.inject("open.swap", lostResponse)
		e.inject("open.get", outage)
		require.Equal(t, once.StateUnknown, e.committer.Do(t.Context(), claim("k", "a")).State)
		require.Equal(t, once.StateUnavailable, e.committer.Do(t.Context(), claim("l", "a")).State)
		settle()
		require.Equal(t, once.StateHeld, e.committer.Do(t.Context(), claim("k", "b")).State)
		require.Equal(t, once.StateGranted, e.committer.Do(t.Context(), claim("l", "b")).State)
	})
}

// Guards against a claim that a process grants from its cached record although another process has
// sealed and replaced that record while the first one was paused.
func TestPausedProcessMeetsSealedClaims(t *testing.T) {
	for _, step := range []string{"open.swap", "segment.swap"} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(2, testSettings())
			a, b := c.entries[0].committer, c.entries[1].committer
			require.Equal(t, once.StateGranted, a.Do(t.Context(), claim("first", "a")).State)
			c.entries[0].inject(step, pause)
			go func() {
				time.Sleep(time.Second)
				for i := range 12 {
					b.Do(context.Background(), claim(fmt.Sprint("k", i), "b"))
				}
			}()
			results := make(chan once.State, 12)
			for i := range 12 {
				go func() { results <- a.Do(context.Background(), claim(fmt.Sprint("k", i), "a")).State }()
			}
			for range 12 {
				require.NotEqual(t, once.StateNone, <-results)
			}
			settle()
			for i := range 12 {
				key := fmt.Sprint("k", i)
				third := b.Do(t.Context(), claim(key, "c"))
				require.Equal(t, once.StateHeld, third.State)
				holders := 0
				for _, id := range []string{"a", "b"} {
					if b.Do(t.Context(), claim(key, id)).State == once.StateGranted {
						holders++
					}
				}
				require.Equal(t, 1, holders, "requests that hold %s", key)
			}
		})
	}
}

// Guards against a lost sealed record that is taken for an empty one, which would make its keys usable
// again.
func TestMissingSealedRecordRefusesClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		for i := range 8 {
			c.entries[0].committer.Do(t.Context(), claim(fmt.Sprint("k", i), "a"))
		}
		entries, _, err := c.store.List(t.Context(), "once/"+service+"/0/")
		require.NoError(t, err)
		require.NotEmpty(t, entries)
		require.NoError(t, c.store.Delete(t.Context(), entries[0].Key, entries[0].Version))
		c.replaceEntry(0)
		res := c.entries[0].committer.Do(t.Context(), claim("k0", "b"))
		require.Equal(t, once.StateUnavailable, res.State)
		require.ErrorIs(t, res.Err, once.ErrRecordMissing)
	})
}

// Guards against queued completions that are lost in a graceful shutdown.
func TestCloseCommitsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.CompletionDelay = time.Hour
		c := newCluster(1, settings)
		e := c.entries[0].committer
		require.Equal(t, once.StateGranted, e.Do(t.Context(), claim("k", "a")).State)
		r := withAction(claim("k", "a"), once.ActionComplete)
		r.Answer = once.Answer{Status: 200}
		go e.Do(context.Background(), r)
		synctest.Wait()
		require.NoError(t, e.Close(t.Context()))
		require.Equal(t, once.StateComplete, e.Do(t.Context(), claim("k", "b")).State)
	})
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

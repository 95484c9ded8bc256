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

func with(r once.Request, a once.Action) once.Request {
	r.Action = a
	return r
}

// Guards against states and actions that differ from the protocol's.
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

// Guards against a result that does not fit the state of the key.
func TestStatesOfOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		do := func(r once.Request) once.Result { return c.entries[0].commit.Do(t.Context(), r) }
		a, b := claim("k", "a"), claim("k", "b")
		other := b
		other.Fingerprint = 8
		done := with(a, once.ActionComplete)
		done.Answer = once.Answer{Status: 201, ContentType: "text/plain", Body: []byte("on")}

		require.Equal(t, once.StateNone, do(with(a, once.ActionRelease)).State)
		require.Equal(t, once.StateGranted, do(a).State)
		require.Equal(t, once.StateGranted, do(a).State, "a repeated claim of the same request")
		require.Equal(t, once.StateHeld, do(b).State)
		require.Equal(t, once.StateMismatch, do(other).State)
		require.Equal(t, once.StateHeld, do(with(b, once.ActionRelease)).State, "release by another request")
		require.Equal(t, once.StateNone, do(with(a, once.ActionRelease)).State)
		require.Equal(t, once.StateGranted, do(b).State, "a released key is usable")
		require.Equal(t, once.StateHeld, do(done).State, "completion by another request")
		done.RequestID = "b"
		require.Equal(t, once.StateComplete, do(done).State)
		require.Equal(t, once.Result{State: once.StateComplete, Answer: done.Answer}, do(a))
		require.Equal(t, once.StateComplete, do(with(b, once.ActionRelease)).State, "a late release")
	})
}

// Guards against time-ordered keys that are accepted outside the retention period or skew bound, and
// against a second run of one that is presented again for as long as it is accepted.
func TestTimeOrderedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := testSettings()
		c := newCluster(1, set)
		state := func(key, id string) once.State { return c.entries[0].commit.Do(t.Context(), claim(key, id)).State }
		now := time.Now()
		require.Equal(t, once.StateExpired, state(uuidAt(now.Add(set.Skew+time.Second), 1), "a"))
		require.Equal(t, once.StateExpired, state(uuidAt(now.Add(-set.Retention-time.Second), 2), "a"))
		key := uuidAt(now.Add(set.Skew), 3)
		require.Equal(t, once.StateGranted, state(key, "a"))
		for i := range 30 {
			for j := range 4 {
				state(fmt.Sprint("filler", i, j), "f")
			}
			want := once.StateHeld
			if time.Since(now) > set.Retention+set.Skew {
				want = once.StateExpired
			}
			require.Equal(t, want, state(key, fmt.Sprint("b", i)), "after %s", time.Since(now))
			if i == 23 {
				// The last moments of the key, when its claim is older than the retention period.
				time.Sleep(time.Until(now.Add(set.Retention + 30*time.Second)))
				require.Equal(t, once.StateHeld, state(key, "c"))
			}
			time.Sleep(time.Hour)
		}
	})
}

// Guards against a claim that is dropped from the open record while its key is still accepted.
func TestOpenClaimOutlivesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := testSettings()
		c := newCluster(1, set)
		key := uuidAt(time.Now().Add(set.Skew), 3)
		require.Equal(t, once.StateGranted, c.entries[0].commit.Do(t.Context(), claim(key, "a")).State)
		time.Sleep(set.Retention + set.Skew/2)
		require.Equal(t, once.StateHeld, c.entries[0].commit.Do(t.Context(), claim(key, "b")).State)
	})
}

// Guards against records that grow without bound and sealed records that are never deleted.
func TestRecordsStayBoundedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := testSettings()
		set.RotateBytes = 4 << 10
		c := newCluster(1, set)
		most := 0
		for day := range 3 {
			for i := range 400 {
				r := claim(fmt.Sprint("key-", day, "-", i), "a")
				require.Equal(t, once.StateGranted, c.entries[0].commit.Do(t.Context(), r).State)
				time.Sleep(3 * time.Minute)
			}
			entries, _, err := c.store.List(t.Context(), "once/"+service+"/0")
			require.NoError(t, err)
			most = max(most, len(entries))
			for _, e := range entries {
				require.Less(t, len(e.Value), 2*set.RotateBytes)
			}
		}
		require.Less(t, most, 20, "records of one shard")
	})
}

// Guards against two processes with different settings that look for one key in two records.
func TestRecordedNumberOfShardsApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore(kv.Limits{})
		granted := 0
		for i := range 8 {
			set := once.DefaultSettings()
			set.Shards = i + 1
			c, err := once.NewCommitter(store, set, silentLog())
			require.NoError(t, err)
			if c.Do(t.Context(), claim("pump-7", fmt.Sprint(i))).State == once.StateGranted {
				granted++
			}
			require.Equal(t, 1, c.Shards(service))
		}
		require.Equal(t, 1, granted)
	})
}

// Guards against a claim that is released on behalf of a request whose entry has settled it through
// another process. The owner records the claim after the entry has given up on it, the entry settles
// the claim itself, and another request must then still find it.
func TestClaimOutlivesItsWaitingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, testSettings())
		owner, other := c.entries[0].commit, c.entries[1].commit
		c.entries[0].inject("open.swap", slowResponse)
		gone, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		require.Equal(t, once.StateUnknown, owner.Do(gone, claim("k", "a")).State)
		require.Equal(t, once.StateGranted, other.Do(t.Context(), claim("k", "a")).State)
		settle()
		require.Equal(t, once.StateHeld, owner.Do(t.Context(), claim("k", "b")).State)
	})
}

// Guards against "not run" for a claim that was withdrawn while its batch was being written, and
// against "unknown" for one that was withdrawn from the queue.
func TestWithdrawnClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		e := c.entries[0]
		require.Equal(t, once.StateGranted, e.commit.Do(t.Context(), claim("warm", "a")).State)
		e.inject("open.swap", slowResponse)
		results := make(chan once.State, 2)
		go func() { results <- e.commit.Do(ctxFor(20*time.Millisecond), claim("k", "a")).State }()
		time.Sleep(10 * time.Millisecond)
		go func() { results <- e.commit.Do(ctxFor(20*time.Millisecond), claim("l", "a")).State }()
		require.Equal(t, once.StateUnknown, <-results)
		require.Equal(t, once.StateUnavailable, <-results)
		settle()
		require.Equal(t, once.StateHeld, e.commit.Do(t.Context(), claim("k", "b")).State)
		require.Equal(t, once.StateGranted, e.commit.Do(t.Context(), claim("l", "b")).State)
	})
}

// Guards against results that rest on a record that another process has changed.
func TestStaleRecordIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, testSettings())
		a, b := c.entries[0].commit, c.entries[1].commit
		require.Equal(t, once.StateGranted, a.Do(t.Context(), claim("k", "a")).State)
		require.Equal(t, once.StateNone, b.Do(t.Context(), with(claim("k", "a"), once.ActionRelease)).State)
		require.Equal(t, once.StateGranted, b.Do(t.Context(), claim("k", "b")).State)
		require.Equal(t, once.StateHeld, a.Do(t.Context(), claim("k", "a")).State, "a claim that was released elsewhere")
	})
}

// Guards against an open record that is replaced before its claims are in a sealed record.
func TestSealedBeforeReplaced(t *testing.T) {
	for _, f := range []fault{refused, lostRequest, lostResponse, late, killBefore, killAfter} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(2, testSettings())
			c.entries[0].inject("segment.swap", f)
			states := map[string]once.State{}
			for i := range 8 {
				key := fmt.Sprint("k", i)
				states[key] = c.entries[0].commit.Do(t.Context(), claim(key, "a")).State
			}
			settle()
			require.Equal(t, 1, c.fired)
			for key, state := range states {
				got := c.entries[1].commit.Do(t.Context(), claim(key, "b")).State
				if state == once.StateGranted {
					require.Equal(t, once.StateHeld, got, "%s: %s", f, key)
				} else {
					require.Contains(t, []once.State{once.StateGranted, once.StateHeld}, got, "%s: %s", f, key)
				}
			}
		})
	}
}

// Guards against "not run" for a claim that may be recorded: the owner records it and its response is
// lost, and then the key-value service is down.
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
		sender.inject("forward", lostResponse)
		sender.inject("open.get", refused, refused, refused, refused, refused, refused, refused, refused, refused,
			refused, refused, refused, refused, refused, refused, refused, refused, refused, refused, refused)
		require.Equal(t, once.StateUnknown, sender.router.Do(t.Context(), claim("k", "a")).State)
		settle()
		require.Equal(t, once.StateHeld, other.commit.Do(t.Context(), claim("k", "b")).State)
	})
}

// Guards against a shard that is unavailable because its owner alone cannot reach the key-value
// service.
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

// recorder is a forwarder whose entries all answer that the key-value service is unavailable.
type recorder struct{ asked []external.Instance }

func (r *recorder) Forward(_ context.Context, to external.Instance, _ once.Request) (once.Result, error) {
	r.asked = append(r.asked, to)
	return once.Result{State: once.StateUnavailable}, nil
}

// Guards against a second choice that fails together with the owner's data centre, and against more
// than two processes that write to a shard's record after an outage.
func TestChoicesOfAShard(t *testing.T) {
	var list []external.Instance
	for i := range 12 {
		list = append(list, external.Instance{
			ID: fmt.Sprint("entry-", i), Role: external.RoleEntry, State: external.InstanceLive, DataCentre: fmt.Sprint("dc-", i%3),
		})
	}
	store := kv.NewStore(kv.Limits{})
	for shards := range 20 {
		set := once.DefaultSettings()
		set.Shards = shards + 1
		c, err := once.NewCommitter(store, set, silentLog())
		require.NoError(t, err)
		r := &recorder{}
		router := once.NewRouter("caller", func() []external.Instance { return list }, r, c)
		key := fmt.Sprint("key-", shards)
		require.Equal(t, once.StateUnavailable, router.Do(t.Context(), claim(key, "a")).State)
		require.Len(t, r.asked, 2)
		owner, _ := router.Owner(service, key)
		require.Equal(t, owner, r.asked[0])
		require.NotEqual(t, owner.DataCentre, r.asked[1].DataCentre)
	}
	require.Zero(t, store.Calls().Writes)
}

// Guards against "not run" after a claim write with an unknown outcome, and against "unknown" when no
// claim write was sent.
func TestServiceDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		e := c.entries[0]
		require.Equal(t, once.StateGranted, e.commit.Do(t.Context(), claim("warm", "a")).State)
		e.inject("open.swap", lostResponse)
		e.inject("open.get", outage)
		require.Equal(t, once.StateUnknown, e.commit.Do(t.Context(), claim("k", "a")).State)
		require.Equal(t, once.StateUnavailable, e.commit.Do(t.Context(), claim("l", "a")).State)
		settle()
		require.Equal(t, once.StateHeld, e.commit.Do(t.Context(), claim("k", "b")).State)
		require.Equal(t, once.StateGranted, e.commit.Do(t.Context(), claim("l", "b")).State)
	})
}

// Guards against a claim that a process grants from a record that others have sealed and rotated
// while it was paused.
func TestPausedProcessMeetsSealedClaims(t *testing.T) {
	for _, step := range []string{"open.swap", "segment.swap"} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(2, testSettings())
			a, b := c.entries[0].commit, c.entries[1].commit
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

// Guards against a lost record that would make its keys usable again.
func TestMissingSealedRecordRefusesClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		for i := range 8 {
			c.entries[0].commit.Do(t.Context(), claim(fmt.Sprint("k", i), "a"))
		}
		entries, _, err := c.store.List(t.Context(), "once/"+service+"/0/")
		require.NoError(t, err)
		require.NotEmpty(t, entries)
		require.NoError(t, c.store.Delete(t.Context(), entries[0].Key, entries[0].Version))
		c.replaceEntry(0)
		res := c.entries[0].commit.Do(t.Context(), claim("k0", "b"))
		require.Equal(t, once.StateUnavailable, res.State)
		require.ErrorIs(t, res.Err, once.ErrRecordMissing)
	})
}

// Guards against completions that are lost in a planned stop.
func TestCloseCommitsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := testSettings()
		set.CompletionDelay = time.Hour
		c := newCluster(1, set)
		e := c.entries[0].commit
		require.Equal(t, once.StateGranted, e.Do(t.Context(), claim("k", "a")).State)
		r := with(claim("k", "a"), once.ActionComplete)
		r.Answer = once.Answer{Status: 200}
		go e.Do(context.Background(), r)
		synctest.Wait()
		require.NoError(t, e.Close(t.Context()))
		require.Equal(t, once.StateComplete, e.Do(t.Context(), claim("k", "b")).State)
	})
}

func silentLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

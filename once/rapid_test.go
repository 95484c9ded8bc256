package once_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
)

// historyEvent is one event of a random history. Each kind uses only some of the fields.
type historyEvent struct {
	Kind  string
	Entry int
	Key   int
	Step  string
	Fault fault
	Wait  time.Duration
}

func drawEvent(t *rapid.T) historyEvent {
	return historyEvent{
		Kind: rapid.SampledFrom([]string{
			"serve", "serve", "serve", "serve all", "fault", "fault", "wait", "replace entry",
			"replace fleet", "replace sidecar", "toggle views", "refuse", "days",
		}).Draw(t, "kind"),
		Entry: rapid.IntRange(0, 2).Draw(t, "entry"),
		Key:   rapid.IntRange(0, 5).Draw(t, "key"),
		Step: rapid.SampledFrom([]string{
			"layout.get", "layout.swap", "open.get", "open.swap", "open.swap", "segment.get", "segment.swap",
			"segment.delete", "forward", "dispatch",
		}).Draw(t, "step"),
		Fault: rapid.SampledFrom([]fault{
			killBefore, killAfter, pause, lostResponse, lostRequest, late, duplicate, slowResponse, refused, outage, slow,
		}).Draw(t, "fault"),
		Wait: time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
	}
}

// Guards against a request that runs twice, or runs although its caller was told "not run", in random
// histories of several entries and keys, with faults at any step, replaced entries and sidecars, changes
// of the ownership views, and days that pass. Odd keys are time-ordered and must never run twice. Even
// keys are plain unless days pass, because plain keys may run again after the retention period.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		days := rapid.Bool().Draw(rt, "days pass")
		// With a limit of 0, only the index set last is kept.
		indexBytes := rapid.SampledFrom([]int{0, 40, 1 << 20}).Draw(rt, "index bytes")
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 40).Draw(rt, "actions")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			settings := testSettings()
			settings.Shards = 2
			settings.IndexBytes = indexBytes
			c := newCluster(3, settings)
			keys := make([]string, 6)
			for i := range keys {
				keys[i] = uuidAt(time.Now().Add(time.Duration(i)*time.Second), byte(i))
				if i%2 == 0 && !days {
					keys[i] = fmt.Sprintf("order-%d", i)
				}
			}
			for _, ev := range events {
				c.apply(ev, keys, days)
			}
			settle()
			for _, key := range keys {
				c.serveAll(key)
			}
			settle()
			violations = c.check()
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

func (c *cluster) apply(ev historyEvent, keys []string, days bool) {
	e, key := c.entries[ev.Entry], keys[ev.Key]
	switch ev.Kind {
	case "serve":
		go func() { c.checkAnswer(key, e.serve(ctxFor(3*time.Second), key, 7)) }()
		time.Sleep(ev.Wait / 100)
	case "serve all":
		go c.serveAll(key)
		time.Sleep(ev.Wait / 100)
	case "fault":
		e.inject(ev.Step, ev.Fault)
	case "wait":
		time.Sleep(ev.Wait)
	case "replace entry":
		c.replaceEntry(ev.Entry)
	case "replace fleet":
		for i := range c.entries {
			c.replaceEntry(i)
		}
		c.replaceSidecar()
	case "replace sidecar":
		c.replaceSidecar()
	case "toggle views":
		_, _, viewsDisagree := c.snapshot()
		c.setViewsDisagree(!viewsDisagree)
	case "refuse":
		c.setRefusals(2)
	case "days":
		if days {
			settle()
			time.Sleep(time.Duration(ev.Key+1) * 6 * time.Hour)
		}
	}
}

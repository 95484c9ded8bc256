package faults_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
)

// Guards against a checker that passes a breach. Each case adds one breach to a run that is fine.
func TestCheckerFindsEachBreach(t *testing.T) {
	at := time.Date(2026, 11, 3, 10, 0, 0, 0, time.UTC)
	request := func(kind, token, id, outcome string) record {
		return record{kind: kind, token: token, requestID: id, outcome: outcome, started: at, ended: at.Add(time.Second)}
	}
	cases := map[string]struct {
		want  string
		spoil func(c *checker)
	}{
		"fine": {"", func(*checker) {}},
		"conflicting order": {"I1", func(c *checker) {
			c.journals.engines["e"] = withViolation(c, engine.ConflictingOrder)
		}},
		"request cut by an order": {"I2", func(c *checker) {
			c.journals.engines["e"] = withViolation(c, engine.RequestAbortedByOrder)
		}},
		"stale order": {"I3", func(c *checker) {
			c.journals.engines["e"] = withViolation(c, engine.StaleOrderRan)
		}},
		"verdict cancelled in a planned change": {"I2", func(c *checker) {
			c.append("e", engine.Record{Kind: engine.RequestCancelled, RequestID: "v/1", At: at})
		}},
		"wrong answer":                   {"I4", func(c *checker) { c.records[0].wrong = "other bytes" }},
		"answer that no engine finished": {"I4", func(c *checker) { c.records[0].requestID = "w" }},
		"different answers to one key":   {"I4", func(c *checker) { c.records[2].body = "other" }},
		"not run, but queued":            {"I5", func(c *checker) { c.records = append(c.records, request(kindChat, "t", "v", notRun)) }},
		"not run, but executed":          {"I5", func(c *checker) { c.records = append(c.records, request(kindAck, "t", "k", notRun)) }},
		"two executions":                 {"I6", func(c *checker) { c.journals.backends["c"] = c.journals.backends["b"] }},
		"work at a leaving engine":       {"I7", func(c *checker) { c.leaving = []leaving{{worker: "e", since: at.Add(-leaveBound - time.Second)}} }},
		"work at a leaving server":       {"I7", func(c *checker) { c.leaving = []leaving{{worker: "b", since: at.Add(-leaveBound - time.Second)}} }},
		"broken in a planned stop":       {"I8", func(c *checker) { c.records = append(c.records, request(kindRead, "t", "x", broken)) }},
		"unknown in a planned stop":      {"I8", func(c *checker) { c.records = append(c.records, request(kindAck, "t", "x", unknown)) }},
		"refused in a planned stop":      {"I8", func(c *checker) { c.records = append(c.records, request(kindAck, "t", "", unsent)) }},
		"broken before the planned stop": {"", func(c *checker) {
			c.records = append(c.records, request(kindAck, "t", "x", broken))
			c.planned[0].since = at.Add(time.Minute)
		}},
		"work before the bound of I7": {"", func(c *checker) { c.leaving = []leaving{{worker: "e", since: at.Add(-leaveBound + time.Second)}} }},
		"work after the slot was renewed": {"", func(c *checker) {
			c.leaving = []leaving{{worker: "e", since: at.Add(-time.Minute), back: at.Add(-time.Second)}}
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := &checker{
				records: []record{
					request(kindVerdict, "v", "v", complete),
					{kind: kindKeyed, token: "k", requestID: "k", answerID: "k", body: "b", outcome: complete, started: at, ended: at},
					{kind: kindKeyed, token: "k", requestID: "k2", answerID: "k", body: "b", outcome: complete, started: at, ended: at},
				},
				journals: &journals{
					engines: map[string]engine.Report{"e": {Journal: []engine.Record{
						{Kind: engine.RequestQueued, RequestID: "v/1", At: at}, {Kind: engine.RequestFinished, RequestID: "v/1", At: at},
					}}},
					backends: map[string][]backend.Record{"b": {{RequestID: "k", Path: "/alerts/k", At: at}}},
				},
				planned: []window{{cell: "order", from: at.Add(-time.Second), to: at.Add(time.Minute)}},
			}
			tc.spoil(c)
			found := c.check()
			if tc.want == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.True(t, strings.HasPrefix(found[0], tc.want+":"), found[0])
		})
	}
}

func withViolation(c *checker, k engine.ViolationKind) engine.Report {
	r := c.journals.engines["e"]
	r.Violations = append(r.Violations, engine.Violation{Kind: k})
	return r
}

func (c *checker) append(worker string, rec engine.Record) {
	r := c.journals.engines[worker]
	r.Journal = append(r.Journal, rec)
	c.journals.engines[worker] = r
}

// Guards against a revision that goes back or comes too late without being reported.
func TestRevisionsFindEachBreach(t *testing.T) {
	at := time.Date(2026, 11, 3, 10, 0, 0, 0, time.UTC)
	due := at.Add(inForceBound + forwardSlack)
	start := func() *revisions {
		r := &revisions{seen: map[string][]sighting{}, disturbed: map[string][]window{}}
		r.saw("e", "s", sighting{at, "1", 3})
		r.accepted = []accepted{{"s", 4, at}}
		return r
	}
	r := start()
	require.Empty(t, r.check(due.Add(-time.Second)), "the bound is not over")
	require.Len(t, r.check(due), 1)
	r.disturb("e", "kill", at, due)
	require.Empty(t, r.check(due), "a killed process may be late")

	r = start()
	r.saw("e", "s", sighting{at.Add(time.Second), "1", 4})
	require.Empty(t, r.check(due))
	r.saw("e", "s", sighting{at.Add(2 * time.Second), "2", 3})
	require.Empty(t, r.check(due), "a new process starts anew")
	r.saw("e", "s", sighting{at.Add(3 * time.Second), "2", 2})
	require.Len(t, r.check(due), 1)
}

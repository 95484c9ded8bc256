package faults_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
)

// Guards against a checker that misses a violation or reports a false one. Each case changes a valid
// run in one way.
func TestCheckerFindsEachBreach(t *testing.T) {
	at := time.Date(2026, 11, 3, 10, 0, 0, 0, time.UTC)
	request := func(kind, operationID, id, outcome string) record {
		return record{kind: kind, operationID: operationID, requestID: id, outcome: outcome, started: at, ended: at.Add(time.Second)}
	}
	cases := map[string]struct {
		want   string
		inject func(c *checker)
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
			c.appendRecord("e", engine.Record{Kind: engine.RequestCancelled, RequestID: "v/1", At: at})
		}},
		"wrong answer":                   {"I4", func(c *checker) { c.records[0].mismatch = "other bytes" }},
		"answer that no engine finished": {"I4", func(c *checker) { c.records[0].requestID = "w" }},
		"different answers to one key":   {"I4", func(c *checker) { c.records[2].body = "other" }},
		"not run, but queued":            {"I5", func(c *checker) { c.records = append(c.records, request(kindChat, "t", "v", outcomeNotRun)) }},
		"not run, but executed":          {"I5", func(c *checker) { c.records = append(c.records, request(kindAck, "t", "k", outcomeNotRun)) }},
		"two executions":                 {"I6", func(c *checker) { c.journals.backends["c"] = c.journals.backends["b"] }},
		"work at a leaving engine":       {"I7", func(c *checker) { c.leaving = []leavingPeriod{{worker: "e", since: at.Add(-leaveBound - time.Second)}} }},
		"work at a leaving server":       {"I7", func(c *checker) { c.leaving = []leavingPeriod{{worker: "b", since: at.Add(-leaveBound - time.Second)}} }},
		"broken in a planned stop":       {"I8", func(c *checker) { c.records = append(c.records, request(kindRead, "t", "x", outcomeBroken)) }},
		"unknown in a planned stop":      {"I8", func(c *checker) { c.records = append(c.records, request(kindAck, "t", "x", outcomeUnknown)) }},
		"refused in a planned stop":      {"I8", func(c *checker) { c.records = append(c.records, request(kindAck, "t", "", outcomeUnsent)) }},
		"broken before the planned stop": {"", func(c *checker) {
			c.records = append(c.records, request(kindAck, "t", "x", outcomeBroken))
			c.planned[0].lastFaultEnd = at.Add(time.Minute)
		}},
		"work before the bound of I7": {"", func(c *checker) { c.leaving = []leavingPeriod{{worker: "e", since: at.Add(-leaveBound + time.Second)}} }},
		"work after the slot was renewed": {"", func(c *checker) {
			c.leaving = []leavingPeriod{{worker: "e", since: at.Add(-time.Minute), restarted: at.Add(-time.Second)}}
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := &checker{
				records: []record{
					request(kindVerdict, "v", "v", outcomeComplete),
					{kind: kindKeyed, operationID: "k", requestID: "k", answerID: "k", body: "b", outcome: outcomeComplete, started: at, ended: at},
					{kind: kindKeyed, operationID: "k", requestID: "k2", answerID: "k", body: "b", outcome: outcomeComplete, started: at, ended: at},
				},
				journals: &journals{
					engines: map[string]engine.Report{"e": {Journal: []engine.Record{
						{Kind: engine.RequestQueued, RequestID: "v/1", At: at}, {Kind: engine.RequestFinished, RequestID: "v/1", At: at},
					}}},
					backends: map[string][]backend.Record{"b": {{RequestID: "k", Path: "/alerts/k", At: at}}},
				},
				planned: []window{{name: "order", from: at.Add(-time.Second), to: at.Add(time.Minute)}},
			}
			tc.inject(c)
			violations := c.check()
			if tc.want == "" {
				require.Empty(t, violations)
				return
			}
			require.Len(t, violations, 1)
			require.True(t, strings.HasPrefix(violations[0], tc.want+":"), violations[0])
		})
	}
}

func withViolation(c *checker, k engine.ViolationKind) engine.Report {
	r := c.journals.engines["e"]
	r.Violations = append(r.Violations, engine.Violation{Kind: k})
	return r
}

func (c *checker) appendRecord(worker string, rec engine.Record) {
	r := c.journals.engines[worker]
	r.Journal = append(r.Journal, rec)
	c.journals.engines[worker] = r
}

// Guards against a tracker that does not report a revision that decreases or arrives too late, or
// that reports one from a disturbed or restarted process.
func TestRevisionsFindEachBreach(t *testing.T) {
	at := time.Date(2026, 11, 3, 10, 0, 0, 0, time.UTC)
	deadline := at.Add(configApplyBound + observationSlack)
	start := func() *revisionTracker {
		r := &revisionTracker{observed: map[string][]observation{}, disturbances: map[string][]window{}}
		r.observe("e", "s", observation{at, "1", 3})
		r.accepted = []acceptedRevision{{"s", 4, at}}
		return r
	}
	r := start()
	require.Empty(t, r.check(deadline.Add(-time.Second)), "reported before the deadline")
	require.Len(t, r.check(deadline), 1)
	r.addDisturbance("e", "kill", at, deadline)
	require.Empty(t, r.check(deadline), "reported a killed process")

	r = start()
	r.observe("e", "s", observation{at.Add(time.Second), "1", 4})
	require.Empty(t, r.check(deadline))
	r.observe("e", "s", observation{at.Add(2 * time.Second), "2", 3})
	require.Empty(t, r.check(deadline), "reported a lower revision of a new incarnation")
	r.observe("e", "s", observation{at.Add(3 * time.Second), "2", 2})
	require.Len(t, r.check(deadline), 1)
}

// Package gatewaybench runs load scenarios against the gateway's routing and role decisions in simulated
// time. Its engine model covers prefill, decode steps that take longer the more requests are running, a
// prefix cache, prompt transfers between engines, and role changes that take seconds. It does not model
// processes, the network between callers and gateways, the store, or engine failures other than engines that
// stop responding.
package gatewaybench

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
)

// Duration is a time.Duration that is written in YAML as text, such as 150ms.
type Duration time.Duration

// UnmarshalYAML parses a duration such as 150ms.
func (d *Duration) UnmarshalYAML(b []byte) error {
	var text string
	if err := yaml.Unmarshal(b, &text); err != nil {
		return err
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 150ms", text)
	}
	*d = Duration(v)
	return nil
}

// Deployment describes the engines, the gateways (Entries) and the normal load.
type Deployment struct {
	Name        string   `yaml:"name"`
	Entries     int      `yaml:"entries"`
	DataCentres []string `yaml:"data-centres"`
	Engines     Engines  `yaml:"engines"`
	Kinds       []Kind   `yaml:"kinds"`
	Accounts    Accounts `yaml:"accounts"`
}

// Engines describes the engines of a deployment, which are identical apart from role and data centre.
type Engines struct {
	// Count is the number of engines.
	Count int `yaml:"count"`
	// Slots is the number of requests that one engine runs concurrently; up to Queue more may wait.
	Slots int `yaml:"slots"`
	Queue int `yaml:"queue"`
	// MemoryTokens is the capacity of an engine's prefix cache.
	MemoryTokens int `yaml:"memory-tokens"`
	// PrefillShare is the fraction of engines that start in the prefill role.
	PrefillShare float64 `yaml:"prefill-share"`
	// TokensPerMS is the number of prompt tokens that a prefill engine processes per millisecond; a decode
	// engine processes half as many.
	TokensPerMS float64 `yaml:"tokens-per-ms"`
	// PrefillFixed is the part of every prefill that does not depend on the prompt. The engine prefills other
	// prompts meanwhile.
	PrefillFixed Duration `yaml:"prefill-fixed"`
	// FirstEventDelay is the fixed time from the start of decoding to the first event.
	FirstEventDelay Duration `yaml:"first"`
	// The interval between two events of a stream is EventBase plus EventPerRequest for each running request.
	EventBase       Duration `yaml:"event-base"`
	EventPerRequest Duration `yaml:"event-per-request"`
	// TransferTokensPerMS is the speed of prompt transfers between engines; it is halved between data centres.
	TransferTokensPerMS float64 `yaml:"tokens-moved-per-ms"`
	// RoleChange is the time that a role change takes.
	RoleChange Duration `yaml:"role-change"`
	// WorkTime holds, for each data centre, how long work takes on its engines as a factor of the usual time; 1 if empty.
	WorkTime []float64 `yaml:"work-time"`
	// WorkTimeSpread is the standard deviation of the logarithm of a further factor, which changes for each engine by
	// itself after WorkTimeChange on average. Engines report their factor with their loads if WorkTime or WorkTimeSpread
	// is set.
	WorkTimeSpread float64  `yaml:"work-time-spread"`
	WorkTimeChange Duration `yaml:"work-time-change"`
}

// Kind describes one class of requests. An answer is on time if its first event comes within Target and no
// two consecutive events are further apart than MaxPause; a MaxPause of 0 sets no limit.
type Kind struct {
	Name      string   `yaml:"name"`
	PerSecond float64  `yaml:"per-second"`
	Target    Duration `yaml:"target"`
	MaxPause  Duration `yaml:"pause"`
	// Deadline is the time from the arrival of a request to the moment at which its caller gives up.
	Deadline Duration `yaml:"deadline"`
	// Worth is the worth of an answer on time to a request of mean size (see request.sizeWeight), LateWorth that
	// of a late answer.
	Worth     float64 `yaml:"worth"`
	LateWorth float64 `yaml:"late"`
	// Retries is the largest number of times a refused caller tries again; its deadline may end the retries earlier.
	Retries int `yaml:"retries"`
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int `yaml:"priority"`
	// OwnTokens is the mean length of the prompt part that no other request shares, MeanEvents the mean number
	// of events of an answer.
	OwnTokens  float64 `yaml:"own-tokens"`
	MeanEvents float64 `yaml:"events"`
	// MaxOwnTokens and MaxEvents limit a single request; 0 sets no limit.
	MaxOwnTokens float64       `yaml:"most-own-tokens"`
	MaxEvents    float64       `yaml:"most-events"`
	Shared       []SharedParts `yaml:"shared"`
}

// SharedParts is one level of prompt parts that several requests have in common. A request gets one part of
// each level; a part of a deeper level belongs to one part of the level above.
type SharedParts struct {
	// Tokens is the mean length of a part.
	Tokens float64 `yaml:"tokens"`
	// Variants is the number of different parts per parent. With a positive Skew the first ones are drawn more
	// often.
	Variants int     `yaml:"things"`
	Skew     float64 `yaml:"skew"`
}

// Day is a scenario: the load changes and faults that a deployment goes through.
type Day struct {
	Name   string   `yaml:"name"`
	Length Duration `yaml:"length"`
	Loads  []Load   `yaml:"loads"`
	Faults []Fault  `yaml:"faults"`
}

// Load changes the request rate of one or more kinds for a time. Kind is the name of a kind of the
// deployment, "first" for the deployment's first kind, "others" for all kinds but the first, or empty for all.
type Load struct {
	// At is the time since the first possible arrival.
	At       Duration `yaml:"at"`
	Duration Duration `yaml:"for"`
	Kind     string   `yaml:"kind"`
	// Factor multiplies the rate; 0 leaves it as it is.
	Factor float64 `yaml:"factor"`
	// ImpatientShare is the fraction of callers that retry at once and up to four times, ignoring Retries and
	// the retry delay they were given.
	ImpatientShare float64 `yaml:"impatient-share"`
	// Account limits the load to the account of this number, from 1; 0 is all. Only Factor applies to it.
	Account int `yaml:"account"`
	// Spread makes the account's requests reach any entry, as on many short connections.
	Spread bool `yaml:"spread"`
}

// active reports whether the load applies at a time since the first possible arrival.
func (l *Load) active(at time.Duration) bool {
	return at >= time.Duration(l.At) && at < time.Duration(l.At)+time.Duration(l.Duration)
}

// Values of Load.Kind that apply to any deployment.
const (
	loadFirst  = "first"
	loadOthers = "others"
)

// appliesTo reports whether a load applies to the kind with the given index and name.
func (l *Load) appliesTo(kind int, name string) bool {
	switch l.Kind {
	case loadFirst:
		return kind == 0
	case loadOthers:
		return kind > 0
	}
	return l.Kind == "" || l.Kind == name
}

// Values of Fault.Kind.
const (
	// FaultUnresponsive makes engines lose their work and stop responding.
	FaultUnresponsive = "dark"
	// FaultSlowLinks divides the speed of prompt transfers by Factor.
	FaultSlowLinks = "slow-links"
	// FaultCrash ends engines for good, and FaultLatePlatform makes orders for engines late and leaves them without an
	// answer. Both need a run with a variable number of engines.
	FaultCrash        = "crash"
	FaultLatePlatform = "late-platform"
)

// Fault makes engines unresponsive or links slow for a time. Share is the fraction of engines that stop
// responding and applies to FaultUnresponsive; Factor is the slowdown of the links between all engines and
// applies to FaultSlowLinks.
type Fault struct {
	// At is the time since the first possible arrival.
	At       Duration `yaml:"at"`
	Duration Duration `yaml:"for"`
	Kind     string   `yaml:"kind"`
	Share    float64  `yaml:"share"`
	Factor   float64  `yaml:"factor"`
}

// ReadDeployment reads and validates a deployment file. Unknown fields are errors.
func ReadDeployment(path string) (*Deployment, error) {
	var d Deployment
	if err := readFile(path, &d); err != nil {
		return nil, err
	}
	return &d, d.validate()
}

// ReadDay reads a day file and validates it against a deployment. Unknown fields are errors.
func ReadDay(path string, d *Deployment) (*Day, error) {
	var day Day
	if err := readFile(path, &day); err != nil {
		return nil, err
	}
	return &day, day.validate(d)
}

func readFile(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if err := yaml.UnmarshalWithOptions(b, v, yaml.Strict()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func check(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func (d *Deployment) validate() error {
	e := &d.Engines
	errs := []error{
		check(d.Name != "", "name of the deployment is missing"),
		check(d.Entries > 0, "entries: found %d, must be at least 1", d.Entries),
		check(len(d.DataCentres) > 0, "data-centres are missing"),
		check(e.Count > 1, "engines.count: found %d, must be at least 2", e.Count),
		check(e.Slots > 0, "engines.slots: found %d, must be at least 1", e.Slots),
		check(e.MemoryTokens > 0, "engines.memory-tokens: found %d, must be at least 1", e.MemoryTokens),
		check(e.PrefillShare >= 0 && e.PrefillShare < 1, "engines.prefill-share: found %g, must be at least 0 and below 1", e.PrefillShare),
		check(e.TokensPerMS > 0, "engines.tokens-per-ms: found %g, must be above 0", e.TokensPerMS),
		check(e.TransferTokensPerMS > 0, "engines.tokens-moved-per-ms: found %g, must be above 0", e.TransferTokensPerMS),
		check(e.EventBase > 0, "engines.event-base is missing"),
		check(e.WorkTimeSpread >= 0 && (e.WorkTimeSpread == 0 || e.WorkTimeChange > 0), "engines.work-time-spread: found %g, must be at least 0, and above 0 needs a work-time-change", e.WorkTimeSpread),
		check(len(e.WorkTime) == 0 || slices.Min(e.WorkTime) > 0, "engines.work-time: found %v, must be above 0", e.WorkTime),
		check(len(d.Kinds) > 0, "kinds are missing"),
	}
	errs = append(errs, d.Accounts.validate()...)
	for _, k := range d.Kinds {
		errs = append(errs,
			check(k.Name != "", "kinds: the name of a kind is missing"),
			check(k.PerSecond > 0, "kind %s: per-second: found %g, must be above 0", k.Name, k.PerSecond),
			check(k.Target > 0 && k.Deadline >= k.Target, "kind %s: target %s and deadline %s: target must be above 0 and at most the deadline", k.Name, time.Duration(k.Target), time.Duration(k.Deadline)),
			check(k.MeanEvents >= 1, "kind %s: events: found %g, must be at least 1", k.Name, k.MeanEvents),
		)
		for _, s := range k.Shared {
			errs = append(errs, check(s.Variants > 0 && s.Tokens > 0, "kind %s: shared: tokens and things must be above 0", k.Name))
		}
	}
	return errors.Join(errs...)
}

func (d *Day) validate(dep *Deployment) error {
	errs := []error{check(d.Name != "", "name of the day is missing"), check(d.Length > 0, "length of the day is missing")}
	known := map[string]bool{"": true, loadFirst: true, loadOthers: true}
	for _, k := range dep.Kinds {
		known[k.Name] = true
	}
	for _, l := range d.Loads {
		errs = append(errs, check(known[l.Kind], "loads: kind %q, which deployment %s does not have", l.Kind, dep.Name),
			check(l.Account >= 0 && l.Account <= dep.Accounts.Count, "loads: account: found %d, deployment %s has %d", l.Account, dep.Name, dep.Accounts.Count),
			check(l.Factor > 0 || l.ImpatientShare > 0, "loads: an element has neither a factor nor an impatient-share"))
	}
	for _, f := range d.Faults {
		errs = append(errs, check(f.Kind == FaultUnresponsive || f.Kind == FaultSlowLinks, "faults: kind %q, must be %s or %s", f.Kind, FaultUnresponsive, FaultSlowLinks))
	}
	return errors.Join(errs...)
}

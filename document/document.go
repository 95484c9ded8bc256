// Package document defines the YAML configuration document of a service and implements its strict
// decoding, default values and validation.
package document

import "time"

// Type distinguishes services that serve models from plain services, which have no models, roles
// or token deadlines.
type Type string

// Service types.
const (
	TypeModel Type = "model"
	TypePlain Type = "plain"
)

// Service is the configuration document of one service.
type Service struct {
	Service     string   `yaml:"service" json:"service"`
	Type        Type     `yaml:"type" json:"type"`
	DataCentres []string `yaml:"data_centres" json:"data_centres"`
	// Models is empty for a plain service.
	Models []Model `yaml:"models,omitempty" json:"models,omitempty"`
	// Pools has at most one entry per data centre.
	Pools   []Pool           `yaml:"pools" json:"pools"`
	Kinds   []Kind           `yaml:"kinds" json:"kinds"`
	Weights ObjectiveWeights `yaml:"weights,omitempty" json:"weights"`
	Limits  Limits           `yaml:"limits,omitempty" json:"limits"`
}

// Model is a model that the engines of the service can load.
type Model struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
	// WeightsMiB is the size of the weights in the weight store.
	WeightsMiB int       `yaml:"weights_mib" json:"weights_mib"`
	Adapters   []Adapter `yaml:"adapters,omitempty" json:"adapters,omitempty"`
}

// Adapter is a fine-tuned adapter of a model.
type Adapter struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
}

// Pool is the set of workers of the service in one data centre. A worker is one backend server with
// its sidecar. The backend servers of a service that serves models are called engines.
type Pool struct {
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	Workers    int    `yaml:"workers" json:"workers"`
	// Models are the names of the models that the engines load. Empty means all.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Roles is the initial number of engines in each role. The planner may change it unless
	// FixedRoles is set.
	Roles Roles `yaml:"roles,omitempty" json:"roles"`
	// FixedRoles prevents the planner from changing roles.
	FixedRoles bool `yaml:"fixed_roles,omitempty" json:"fixed_roles,omitempty"`
	// ChecksFence states that the engines reject orders with a stale fence number.
	ChecksFence bool `yaml:"checks_fence,omitempty" json:"checks_fence,omitempty"`
}

// Roles holds the number of engines in each role.
type Roles struct {
	Prefill int `yaml:"prefill,omitempty" json:"prefill"`
	Decode  int `yaml:"decode,omitempty" json:"decode"`
	Mixed   int `yaml:"mixed,omitempty" json:"mixed"`
}

// Kind is a class of requests with its own rank and deadlines. A request belongs to the first kind
// that matches it.
type Kind struct {
	Name  string `yaml:"name" json:"name"`
	Match Match  `yaml:"match,omitempty" json:"match"`
	// Rank is the priority of the kind under load; 1 is the highest.
	Rank      int       `yaml:"rank" json:"rank"`
	Deadlines Deadlines `yaml:"deadlines" json:"deadlines"`
	// Repeatable allows a request to be executed more than once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
	// Interruptible allows a planned change to interrupt requests in flight.
	Interruptible bool `yaml:"interruptible,omitempty" json:"interruptible"`
	// Starvable excludes the kind's requests from the share that admission guarantees to lower ranks:
	// they may receive no capacity at all while higher-priority ranks need it.
	Starvable bool `yaml:"starvable,omitempty" json:"starvable"`
}

// Match selects requests. An empty field matches any value. FindKind also takes a Match, which
// holds the values of one request and, in PathPrefix, its whole path.
type Match struct {
	// Kind is the value of the request header X-Quetzallug-Kind.
	Kind   string `yaml:"kind,omitempty" json:"kind,omitempty"`
	Model  string `yaml:"model,omitempty" json:"model,omitempty"`
	Method string `yaml:"method,omitempty" json:"method,omitempty"`
	// PathPrefix is matched against the part of the URL path after /svc/<service>.
	PathPrefix string `yaml:"path_prefix,omitempty" json:"path_prefix,omitempty"`
}

// Deadlines holds the latency targets and the total deadline of a kind. A target of zero is unset;
// Total is required.
type Deadlines struct {
	// FirstToken is the target for the time from the request to its first token.
	FirstToken Duration `yaml:"first_token,omitempty" json:"first_token,omitempty"`
	// BetweenTokens is the target for the time from one token to the next.
	BetweenTokens Duration `yaml:"between_tokens,omitempty" json:"between_tokens,omitempty"`
	// Total limits the time until the complete response.
	Total Duration `yaml:"total" json:"total"`
}

// ObjectiveWeights holds the weights of the terms in the planner's objective. A weight of 0 is unset
// and becomes its default value.
type ObjectiveWeights struct {
	// Goodput weighs the goodput gained by a change.
	Goodput float64 `yaml:"goodput,omitempty" json:"goodput"`
	// RoleChanges weighs the cost of role changes: the higher it is, the fewer changes are made.
	RoleChanges float64 `yaml:"role_changes,omitempty" json:"role_changes"`
}

// Limits holds the admission limits of a service.
type Limits struct {
	PerCaller CallerLimits `yaml:"per_caller,omitempty" json:"per_caller"`
	// Queue is the maximum number of waiting requests per worker.
	Queue int `yaml:"queue,omitempty" json:"queue"`
	// BodyKiB is the maximum size of a request body.
	BodyKiB int `yaml:"body_kib,omitempty" json:"body_kib"`
}

// CallerLimits holds the limits that each entry applies to one caller.
type CallerLimits struct {
	// RequestsPerSecond is the sustained rate. 0 means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second"`
	// Burst is the number of requests accepted at once before the rate applies. 0 is unset and becomes
	// the number of requests in one second, rounded up.
	Burst int `yaml:"burst,omitempty" json:"burst"`
	// Concurrent is the maximum number of requests in progress. 0 is unset and becomes
	// DefaultConcurrent.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent"`
}

// Duration is a time.Duration written as a string such as "730ms".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

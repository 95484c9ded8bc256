// Package document defines the document that a team writes for its service, its strict
// decoding, its defaults and its validation.
package document

import "time"

// Type tells model services from plain services.
type Type string

// Service types.
const (
	TypeModel Type = "model"
	TypePlain Type = "plain"
)

// Service is the document of one service.
type Service struct {
	Service     string   `yaml:"service" json:"service"`
	Type        Type     `yaml:"type" json:"type"`
	DataCentres []string `yaml:"data_centres" json:"data_centres"`
	// Models is empty for a plain service.
	Models []Model `yaml:"models,omitempty" json:"models,omitempty"`
	// Pools describes the workers in each data centre.
	Pools   []Pool  `yaml:"pools" json:"pools"`
	Kinds   []Kind  `yaml:"kinds" json:"kinds"`
	Weights Weights `yaml:"weights,omitempty" json:"weights"`
	Limits  Limits  `yaml:"limits,omitempty" json:"limits"`
}

// Model is a model that the service serves.
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

// Pool is the workers of the service in one data centre.
type Pool struct {
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	Workers    int    `yaml:"workers" json:"workers"`
	// Models are the names of the models that the engines load. Empty means all.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Roles is the initial number of engines in each role; the planner changes it.
	Roles Roles `yaml:"roles,omitempty" json:"roles"`
	// FixedRoles keeps the planner from changing roles.
	FixedRoles bool `yaml:"fixed_roles,omitempty" json:"fixed_roles,omitempty"`
	// ChecksFence says that the engines refuse orders with an old fence number.
	ChecksFence bool `yaml:"checks_fence,omitempty" json:"checks_fence,omitempty"`
}

// Roles counts engines by role.
type Roles struct {
	Prefill int `yaml:"prefill,omitempty" json:"prefill"`
	Decode  int `yaml:"decode,omitempty" json:"decode"`
	Mixed   int `yaml:"mixed,omitempty" json:"mixed"`
}

// Kind is a kind of request. The first kind that matches a request applies.
type Kind struct {
	Name  string `yaml:"name" json:"name"`
	Match Match  `yaml:"match,omitempty" json:"match"`
	// Rank orders kinds under load: rank 1 is the most important.
	Rank      int       `yaml:"rank" json:"rank"`
	Deadlines Deadlines `yaml:"deadlines" json:"deadlines"`
	// Repeatable says that a request may run more than once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
	// Interruptible says that a planned change may interrupt a request in flight.
	Interruptible bool `yaml:"interruptible,omitempty" json:"interruptible"`
	// Starvable says that the rank may get no capacity at all while higher ranks need it.
	Starvable bool `yaml:"starvable,omitempty" json:"starvable"`
}

// Match selects requests. Empty fields match anything.
type Match struct {
	// Kind is the value of the request header X-Quetzallug-Kind.
	Kind   string `yaml:"kind,omitempty" json:"kind,omitempty"`
	Model  string `yaml:"model,omitempty" json:"model,omitempty"`
	Method string `yaml:"method,omitempty" json:"method,omitempty"`
	// PathPrefix is compared with the path below /svc/<service>.
	PathPrefix string `yaml:"path_prefix,omitempty" json:"path_prefix,omitempty"`
}

// Deadlines are the latency targets of a kind. Zero means no target, except for Total.
type Deadlines struct {
	FirstToken    Duration `yaml:"first_token,omitempty" json:"first_token,omitempty"`
	BetweenTokens Duration `yaml:"between_tokens,omitempty" json:"between_tokens,omitempty"`
	// Total bounds the whole answer.
	Total Duration `yaml:"total" json:"total"`
}

// Weights set what the planner optimises.
type Weights struct {
	Goodput     float64 `yaml:"goodput,omitempty" json:"goodput"`
	RoleChanges float64 `yaml:"role_changes,omitempty" json:"role_changes"`
}

// Limits bound the use of the service.
type Limits struct {
	PerCaller CallerLimits `yaml:"per_caller,omitempty" json:"per_caller"`
	// Queue is the largest number of requests that wait per worker.
	Queue int `yaml:"queue,omitempty" json:"queue"`
	// BodyKiB is the largest request body.
	BodyKiB int `yaml:"body_kib,omitempty" json:"body_kib"`
}

// CallerLimits bound one caller on one entry.
type CallerLimits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second"`
	Burst             int     `yaml:"burst,omitempty" json:"burst"`
	Concurrent        int     `yaml:"concurrent,omitempty" json:"concurrent"`
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

// Package settings reads the settings of a process from command line flags and QUETZALLUG_*
// environment variables, and validates them. A validation error lists all invalid settings.
package settings

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"

	"github.com/quetzallug/quetzallug/internal/logging"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/lease"
)

// EnvPrefix is the prefix of the environment variables: QUETZALLUG_KV_ADDRESS sets --kv-address.
const EnvPrefix = "QUETZALLUG"

// Values of --backend, the kind of the backend server next to a sidecar.
const (
	BackendEngine = "engine"
	BackendPlain  = "plain"
)

// leaseTTLLowerBound is the exclusive lower limit of the lease TTL: the safety margin must be less than a
// third of the TTL.
const leaseTTLLowerBound = 3 * lease.DefaultSafetyMargin

// Common holds the settings that entries and sidecars share.
type Common struct {
	Cluster          string        `mapstructure:"cluster"`
	Instance         string        `mapstructure:"instance"`
	DataCentre       string        `mapstructure:"data-centre"`
	Listen           string        `mapstructure:"listen"`
	Key              string        `mapstructure:"key"`
	TLSCert          string        `mapstructure:"tls-cert"`
	TLSKey           string        `mapstructure:"tls-key"`
	TLSCA            string        `mapstructure:"tls-ca"`
	KVModule         string        `mapstructure:"kv-module"`
	KVAddress        string        `mapstructure:"kv-address"`
	InstancesModule  string        `mapstructure:"instances-module"`
	InstancesAddress string        `mapstructure:"instances-address"`
	InstancesPoll    time.Duration `mapstructure:"instances-poll"`
	LogLevel         string        `mapstructure:"log-level"`
	LogFormat        string        `mapstructure:"log-format"`
	DrainTimeout     time.Duration `mapstructure:"drain-timeout"`
	LameDuck         time.Duration `mapstructure:"lame-duck"`
	Profile          bool          `mapstructure:"profile"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common        `mapstructure:",squash"`
	PeerListen    string        `mapstructure:"peer-listen"`
	MaxBodyKiB    int           `mapstructure:"max-body"`
	WriteTimeout  time.Duration `mapstructure:"write-timeout"`
	RetryShare    float64       `mapstructure:"retry-share"`
	LeaseTTL      time.Duration `mapstructure:"lease-ttl"`
	MaxPools      int           `mapstructure:"max-pools"`
	PlanInterval  time.Duration `mapstructure:"plan-interval"`
	OnceShards    int           `mapstructure:"once-shards"`
	OnceRetention time.Duration `mapstructure:"once-retention"`
	KVCalls       float64       `mapstructure:"kv-calls"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Common         `mapstructure:",squash"`
	Service        string        `mapstructure:"service"`
	Backend        string        `mapstructure:"backend"`
	BackendModule  string        `mapstructure:"backend-module"`
	BackendAddress string        `mapstructure:"backend-address"`
	WeightsModule  string        `mapstructure:"weights-module"`
	WeightsAddress string        `mapstructure:"weights-address"`
	MaxInFlight    int           `mapstructure:"max-in-flight"`
	StatePoll      time.Duration `mapstructure:"state-poll"`
}

func addCommon(f *pflag.FlagSet) {
	f.String("cluster", "quetzallug", "name of the cluster; peers of another cluster are refused")
	f.String("instance", "", "name of this instance in the platform's instance list")
	f.String("data-centre", "", "data centre of this instance")
	f.String("listen", "127.0.0.1:8080", "IP address and port to serve on")
	f.String("key", "", "shared key of the cluster's processes (set QUETZALLUG_KEY instead to keep it off the command line)")
	f.String("tls-cert", "", "certificate for connections between processes, as PEM text or file; without one, connections are not encrypted")
	f.String("tls-key", "", "private key of the certificate, as PEM text or file")
	f.String("tls-ca", "", "certificate of the authority that signs the cluster's certificates, as PEM text or file")
	f.String("kv-module", "platform.kv.http", "module for access to the key-value service")
	f.String("kv-address", "http://127.0.0.1:7000", "URL of the key-value service")
	f.String("instances-module", "platform.instances.http", "module for access to the instance list")
	f.String("instances-address", "http://127.0.0.1:7001", "URL of the instance list")
	f.Duration("instances-poll", 2*time.Second, "polling interval of the instance list")
	f.String("log-level", "info", "minimum level to log: debug, info, warning or error")
	f.String("log-format", logging.FormatText, "format of log lines: text or json")
	f.Duration("lame-duck", 3*time.Second, "time between the first failed readiness check and the close of the listener when the process stops")
	f.Duration("drain-timeout", 60*time.Second, "maximum time for requests to finish when the process stops")
	f.Bool("profile", false, "serve CPU and heap profiles under /debug/pprof on the listener of the process")
}

// AddEntryFlags adds the flags of an entry.
func AddEntryFlags(f *pflag.FlagSet) {
	addCommon(f)
	f.String("peer-listen", "127.0.0.1:8081", "IP address and port for the cluster's other processes and the command line tool")
	f.Int("max-body", 8192, "maximum size of a request body in KiB; a service can set a lower limit")
	f.Duration("write-timeout", 10*time.Second, "timeout of one write to a caller")
	f.Float64("retry-share", 0.1, "maximum number of retries as a fraction of new requests")
	f.Duration("lease-ttl", 6*time.Second, "time to live of a pool lease")
	f.Int("max-pools", 8, "maximum number of pools that this entry plans for")
	f.Duration("plan-interval", 5*time.Second, "time between two runs of the planner")
	f.Int("once-shards", 4, "number of claim shards per service")
	f.Duration("once-retention", 24*time.Hour, "time for which claims of idempotency keys are stored")
	f.Float64("kv-calls", 60, "maximum number of calls per second to the key-value service")
}

// AddSidecarFlags adds the flags of a sidecar.
func AddSidecarFlags(f *pflag.FlagSet) {
	addCommon(f)
	f.String("service", "", "service of the backend server")
	f.String("backend", BackendEngine, "kind of backend server: engine or plain")
	f.String("backend-module", "", "module for access to the backend server (default engine.http or backend.http)")
	f.String("backend-address", "http://127.0.0.1:7100", "URL of the backend server")
	f.String("weights-module", "platform.weights.http", "module for access to the weight store")
	f.String("weights-address", "http://127.0.0.1:7002", "URL of the weight store")
	f.Int("max-in-flight", 256, "maximum number of concurrent attempts at the backend server")
	f.Duration("state-poll", time.Second, "polling interval of the engine's state and load")
}

// unmarshal sets the fields of out from flags and environment variables.
func unmarshal(cmd *cobra.Command, out any) error {
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(cmd.Flags()); err != nil {
		return err
	}
	return v.Unmarshal(out)
}

// ReadEntry reads and validates the settings of an entry.
func ReadEntry(cmd *cobra.Command) (*Entry, error) {
	var s Entry
	if err := unmarshal(cmd, &s); err != nil {
		return nil, err
	}
	return &s, s.Validate()
}

// ReadSidecar reads and validates the settings of a sidecar.
func ReadSidecar(cmd *cobra.Command) (*Sidecar, error) {
	s, err := SidecarValues(cmd)
	if err != nil {
		return nil, err
	}
	return s, s.Validate()
}

// SidecarValues reads the settings of a sidecar without validating them.
func SidecarValues(cmd *cobra.Command) (*Sidecar, error) {
	var s Sidecar
	if err := unmarshal(cmd, &s); err != nil {
		return nil, err
	}
	if s.BackendModule == "" {
		s.BackendModule = map[string]string{BackendEngine: "engine.http", BackendPlain: "backend.http"}[s.Backend]
	}
	return &s, nil
}

// TLS returns the TLS settings for connections between processes.
func (c *Common) TLS() rpc.TLSFiles { return rpc.TLSFiles{Cert: c.TLSCert, Key: c.TLSKey, CA: c.TLSCA} }

func (c *Common) validate() []error {
	errs := []error{
		checkRequired("cluster", c.Cluster), checkRequired("instance", c.Instance), checkRequired("data-centre", c.DataCentre),
		checkRequired("key", c.Key), checkAddress("listen", c.Listen),
		checkPositive("instances-poll", c.InstancesPoll), checkPositive("drain-timeout", c.DrainTimeout),
	}
	_, logErr := logging.New(nil, c.LogLevel, c.LogFormat)
	_, tlsErr := c.TLS().Load()
	return append(errs, logErr, tlsErr)
}

// Validate returns one error that joins the errors of all invalid settings.
func (s *Entry) Validate() error {
	errs := append(s.validate(),
		checkAddress("peer-listen", s.PeerListen), checkMinimum("max-body", s.MaxBodyKiB, 1),
		checkPositive("write-timeout", s.WriteTimeout), checkPositive("plan-interval", s.PlanInterval),
		checkMinimum("once-shards", s.OnceShards, 1), checkPositive("once-retention", s.OnceRetention),
		checkMinimum("max-pools", s.MaxPools, 0),
	)
	if s.LeaseTTL <= leaseTTLLowerBound {
		errs = append(errs, fmt.Errorf("setting lease-ttl: found %s, must be above %s", s.LeaseTTL, leaseTTLLowerBound))
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		errs = append(errs, fmt.Errorf("setting retry-share: found %g, must be between 0 and 1", s.RetryShare))
	}
	if s.KVCalls <= 0 {
		errs = append(errs, fmt.Errorf("setting kv-calls: found %g, must be above 0", s.KVCalls))
	}
	return errors.Join(errs...)
}

// Validate returns one error that joins the errors of all invalid settings.
func (s *Sidecar) Validate() error {
	errs := append(s.validate(),
		checkRequired("service", s.Service), checkMinimum("max-in-flight", s.MaxInFlight, 1), checkPositive("state-poll", s.StatePoll),
	)
	if s.Backend != BackendEngine && s.Backend != BackendPlain {
		errs = append(errs, fmt.Errorf("setting backend: found %q, must be %q or %q", s.Backend, BackendEngine, BackendPlain))
	}
	return errors.Join(errs...)
}

func checkRequired(name, value string) error {
	if value == "" {
		return fmt.Errorf("setting %s is required", name)
	}
	return nil
}

func checkAddress(name, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("setting %s: found %q, must be an IP address and a port", name, value)
	}
	return nil
}

func checkPositive(name string, d time.Duration) error {
	if d <= 0 {
		return fmt.Errorf("setting %s: found %s, must be above 0s", name, d)
	}
	return nil
}

func checkMinimum(name string, n, minimum int) error {
	if n < minimum {
		return fmt.Errorf("setting %s: found %d, must be at least %d", name, n, minimum)
	}
	return nil
}

// Values returns the settings by name, with durations formatted as strings.
func (s *Entry) Values() map[string]any { return valuesByName(s) }

// Values returns the settings by name, with durations formatted as strings.
func (s *Sidecar) Values() map[string]any { return valuesByName(s) }

func valuesByName(s any) map[string]any {
	out := map[string]any{}
	if err := mapstructure.Decode(s, &out); err != nil {
		return map[string]any{"error": err.Error()}
	}
	for k, v := range out {
		if d, ok := v.(time.Duration); ok {
			out[k] = d.String()
		}
	}
	return out
}

// Package settings reads a process's settings from flags and QUETZALLUG_* environment
// variables and checks them all at once.
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

// EnvPrefix starts the environment variable of each setting: --kv-address is
// QUETZALLUG_KV_ADDRESS.
const EnvPrefix = "QUETZALLUG"

// Kinds of backend servers.
const (
	BackendEngine = "engine"
	BackendPlain  = "plain"
)

// minLeaseTTL is exceeded by each lease TTL: the safety margin must stay below a third of it.
const minLeaseTTL = 3 * lease.DefaultSafetyMargin

// Common are the settings of each role.
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

// Entry are the settings of an entry.
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

// Sidecar are the settings of a sidecar.
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
	f.String("instance", "", "name of this instance's slot in the platform's instance list")
	f.String("data-centre", "", "data centre of this instance")
	f.String("listen", "127.0.0.1:8080", "IP address and port to serve on")
	f.String("key", "", "shared key of the cluster's processes (better set as QUETZALLUG_KEY)")
	f.String("tls-cert", "", "certificate for connections between processes, as PEM text or file; empty for cleartext")
	f.String("tls-key", "", "key of the certificate, as PEM text or file")
	f.String("tls-ca", "", "authority that signs the cluster's certificates, as PEM text or file")
	f.String("kv-module", "platform.kv.http", "module that reaches the key-value service")
	f.String("kv-address", "http://127.0.0.1:7000", "URL of the key-value service")
	f.String("instances-module", "platform.instances.http", "module that reaches the instance list")
	f.String("instances-address", "http://127.0.0.1:7001", "URL of the instance list")
	f.Duration("instances-poll", 2*time.Second, "time between reads of the instance list")
	f.String("log-level", "info", "least level logged: debug, info, warning or error")
	f.String("log-format", logging.FormatText, "format of log lines: text or json")
	f.Duration("lame-duck", 3*time.Second, "time between failing the readiness check and closing the listener at a stop")
	f.Duration("drain-timeout", 60*time.Second, "bound on a graceful shutdown")
	f.Bool("profile", false, "serve CPU and heap profiles under /debug/pprof on the listener of the role")
}

// AddEntry adds the flags of an entry.
func AddEntry(f *pflag.FlagSet) {
	addCommon(f)
	f.String("peer-listen", "127.0.0.1:8081", "IP address and port for the system's other processes and the operators' tool")
	f.Int("max-body", 8192, "largest request body in KiB, before a service's own limit")
	f.Duration("write-timeout", 10*time.Second, "bound on one write to a slow reader")
	f.Float64("retry-share", 0.1, "retries as a share of fresh requests")
	f.Duration("lease-ttl", 6*time.Second, "time to live of a pool lease")
	f.Int("max-pools", 8, "largest number of pools that this entry plans for")
	f.Duration("plan-interval", 5*time.Second, "time between planner rounds")
	f.Int("once-shards", 4, "number of claim shards per service")
	f.Duration("once-retention", 24*time.Hour, "time for which claims of idempotency keys are kept")
	f.Float64("kv-calls", 60, "budget of calls to the key-value service per second")
}

// AddSidecar adds the flags of a sidecar.
func AddSidecar(f *pflag.FlagSet) {
	addCommon(f)
	f.String("service", "", "service of the backend server")
	f.String("backend", BackendEngine, "kind of backend server: engine or plain")
	f.String("backend-module", "", "module that reaches the backend server (default engine.http or backend.http)")
	f.String("backend-address", "http://127.0.0.1:7100", "URL of the backend server")
	f.String("weights-module", "platform.weights.http", "module that reaches the weight store")
	f.String("weights-address", "http://127.0.0.1:7002", "URL of the weight store")
	f.Int("max-in-flight", 256, "largest number of attempts handed to the backend server")
	f.Duration("state-poll", time.Second, "time between reads of the engine's state and load")
}

// read fills out from flags and environment variables.
func read(cmd *cobra.Command, out any) error {
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(cmd.Flags()); err != nil {
		return err
	}
	return v.Unmarshal(out)
}

// ReadEntry reads and checks the settings of an entry.
func ReadEntry(cmd *cobra.Command) (*Entry, error) {
	var s Entry
	if err := read(cmd, &s); err != nil {
		return nil, err
	}
	return &s, s.Validate()
}

// ReadSidecar reads and checks the settings of a sidecar.
func ReadSidecar(cmd *cobra.Command) (*Sidecar, error) {
	s, err := SidecarValues(cmd)
	if err != nil {
		return nil, err
	}
	return s, s.Validate()
}

// SidecarValues reads the settings of a sidecar without checking them.
func SidecarValues(cmd *cobra.Command) (*Sidecar, error) {
	var s Sidecar
	if err := read(cmd, &s); err != nil {
		return nil, err
	}
	if s.BackendModule == "" {
		s.BackendModule = map[string]string{BackendEngine: "engine.http", BackendPlain: "backend.http"}[s.Backend]
	}
	return &s, nil
}

// TLS returns the settings of TLS between processes.
func (c *Common) TLS() rpc.TLSFiles { return rpc.TLSFiles{Cert: c.TLSCert, Key: c.TLSKey, CA: c.TLSCA} }

func (c *Common) validate() []error {
	errs := []error{
		required("cluster", c.Cluster), required("instance", c.Instance), required("data-centre", c.DataCentre),
		required("key", c.Key), address("listen", c.Listen),
		positive("instances-poll", c.InstancesPoll), positive("drain-timeout", c.DrainTimeout),
	}
	_, logErr := logging.New(nil, c.LogLevel, c.LogFormat)
	_, tlsErr := c.TLS().Load()
	return append(errs, logErr, tlsErr)
}

// Validate returns all errors at once.
func (s *Entry) Validate() error {
	errs := append(s.validate(),
		address("peer-listen", s.PeerListen), atLeast("max-body", s.MaxBodyKiB, 1),
		positive("write-timeout", s.WriteTimeout), positive("plan-interval", s.PlanInterval),
		atLeast("once-shards", s.OnceShards, 1), positive("once-retention", s.OnceRetention),
		atLeast("max-pools", s.MaxPools, 0),
	)
	if s.LeaseTTL <= minLeaseTTL {
		errs = append(errs, fmt.Errorf("setting lease-ttl: found %s, allowed are durations above %s", s.LeaseTTL, minLeaseTTL))
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		errs = append(errs, fmt.Errorf("setting retry-share: found %g, allowed are 0 to 1", s.RetryShare))
	}
	if s.KVCalls <= 0 {
		errs = append(errs, fmt.Errorf("setting kv-calls: found %g, allowed are values above 0", s.KVCalls))
	}
	return errors.Join(errs...)
}

// Validate returns all errors at once.
func (s *Sidecar) Validate() error {
	errs := append(s.validate(),
		required("service", s.Service), atLeast("max-in-flight", s.MaxInFlight, 1), positive("state-poll", s.StatePoll),
	)
	if s.Backend != BackendEngine && s.Backend != BackendPlain {
		errs = append(errs, fmt.Errorf("setting backend: found %q, allowed are %q and %q", s.Backend, BackendEngine, BackendPlain))
	}
	return errors.Join(errs...)
}

func required(name, value string) error {
	if value == "" {
		return fmt.Errorf("setting %s is required", name)
	}
	return nil
}

func address(name, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("setting %s: found %q, allowed is an IP address with a port", name, value)
	}
	return nil
}

func positive(name string, d time.Duration) error {
	if d <= 0 {
		return fmt.Errorf("setting %s: found %s, allowed are durations above 0", name, d)
	}
	return nil
}

func atLeast(name string, n, least int) error {
	if n < least {
		return fmt.Errorf("setting %s: found %d, allowed are %d and more", name, n, least)
	}
	return nil
}

// Values returns the settings by name, with durations as text.
func (s *Entry) Values() map[string]any { return values(s) }

// Values returns the settings by name, with durations as text.
func (s *Sidecar) Values() map[string]any { return values(s) }

func values(s any) map[string]any {
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

package settings

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/quetzallug/quetzallug/internal/logging"
)

// Gateway are the settings of a gateway.
type Gateway struct {
	Instance       string        `mapstructure:"instance"`
	DataCentre     string        `mapstructure:"data-centre"`
	Listen         string        `mapstructure:"listen"`
	ReadyListen    string        `mapstructure:"ready-listen"`
	MetricsListen  string        `mapstructure:"metrics-listen"`
	Adapter        string        `mapstructure:"adapter"`
	AdapterAddress string        `mapstructure:"adapter-address"`
	RetryShare     float64       `mapstructure:"retry-share"`
	RetrySlack     float64       `mapstructure:"retry-slack"`
	Instances      int           `mapstructure:"instances"`
	RetryWindow    time.Duration `mapstructure:"retry-window"`
	ConfigBound    time.Duration `mapstructure:"config-bound"`
	DrainBound     time.Duration `mapstructure:"drain-bound"`
	LeaseTTL       time.Duration `mapstructure:"lease-ttl"`
	OrderGuard     time.Duration `mapstructure:"order-guard"`
	MaxFiles       int           `mapstructure:"max-files"`
	MemoryMiB      int           `mapstructure:"memory"`
	LogLevel       string        `mapstructure:"log-level"`
	LogFormat      string        `mapstructure:"log-format"`
	LameDuck       time.Duration `mapstructure:"lame-duck"`
	Grace          time.Duration `mapstructure:"grace"`
}

// maxInstances is the number of entries that one deployment is designed for.
const maxInstances = 340

// OwnRetrySlack is the part of the slack that this instance may use. Instances do not know how many
// others run; if each of 300 used one request of the slack, they would exceed the 102 that one of the
// known deployments allows.
func (s *Gateway) OwnRetrySlack() float64 { return s.RetrySlack / float64(s.Instances) }

// AddGateway adds the flags of a gateway.
func AddGateway(f *pflag.FlagSet) {
	f.String("instance", "", "name of this instance")
	f.String("data-centre", "", "data centre of this instance")
	f.String("listen", "127.0.0.1:8080", "IP address and port for callers")
	f.String("ready-listen", "127.0.0.1:8081", "IP address and port of the readiness check")
	f.String("metrics-listen", "", "IP address and port of the metrics; empty for none")
	f.String("adapter", "adapter.platform", "module that translates between the installation and quetzallug")
	f.String("adapter-address", "127.0.0.1:7000", "IP address and port of the installation's store")
	f.Float64("retry-share", 0.1, "requests sent again, as a share of the requests for the same service")
	f.Float64("retry-slack", 0, "requests that all instances together may send again in a window beside that share")
	f.Int("instances", maxInstances, "largest number of instances that share retry-slack")
	f.Duration("retry-window", 10*time.Second, "length of the sliding window of the retry budget")
	f.Duration("config-bound", 2*time.Second, "time within which an accepted configuration is in force")
	f.Duration("drain-bound", 2*time.Second, "time within which a leaving backend server gets no more requests")
	f.Duration("lease-ttl", 3500*time.Millisecond, "time to live of the lease for orders to engines; 0s gives no orders")
	f.Duration("order-guard", 3*time.Second, "least time between the last order of one instance and the first of the next")
	f.Int("max-files", 1024, "descriptors that the process may hold; callers' connections take 0.6 of them")
	f.Int("memory", 96, "memory in MiB above which the garbage collector works harder")
	f.String("log-level", "info", "least level logged: debug, info, warning or error")
	f.String("log-format", logging.FormatJSON, "format of log lines: text or json")
	f.Duration("lame-duck", 2500*time.Millisecond, "time between failing the readiness check and closing the listener at a stop; at most half of the grace time")
	f.Duration("grace", 8*time.Second, "time between the signal to stop and the end of the process")
}

// ReadGateway reads and checks the settings of a gateway.
func ReadGateway(cmd *cobra.Command) (*Gateway, error) {
	var s Gateway
	if err := read(cmd, &s); err != nil {
		return nil, err
	}
	return &s, s.Validate()
}

// Validate returns all errors at once.
func (s *Gateway) Validate() error {
	_, logErr := logging.New(nil, s.LogLevel, s.LogFormat)
	errs := []error{
		required("instance", s.Instance), required("data-centre", s.DataCentre), required("adapter", s.Adapter),
		address("listen", s.Listen), address("ready-listen", s.ReadyListen), address("adapter-address", s.AdapterAddress),
		positive("retry-window", s.RetryWindow), positive("config-bound", s.ConfigBound), positive("drain-bound", s.DrainBound), positive("grace", s.Grace), atLeast("memory", s.MemoryMiB, 16), atLeast("max-files", s.MaxFiles, 64), atLeast("instances", s.Instances, 1), logErr,
	}
	if s.LeaseTTL != 0 && s.LeaseTTL < time.Second {
		errs = append(errs, fmt.Errorf("setting lease-ttl: found %s, allowed are 0s and durations from 1s", s.LeaseTTL))
	}
	if s.OrderGuard < 0 {
		errs = append(errs, fmt.Errorf("setting order-guard: found %s, allowed are 0s and more", s.OrderGuard))
	}
	if s.MetricsListen != "" {
		errs = append(errs, address("metrics-listen", s.MetricsListen))
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		errs = append(errs, fmt.Errorf("setting retry-share: found %g, allowed are 0 to 1", s.RetryShare))
	}
	if s.RetrySlack < 0 {
		errs = append(errs, fmt.Errorf("setting retry-slack: found %g, allowed are 0 and more", s.RetrySlack))
	}
	if s.LameDuck < 0 {
		errs = append(errs, fmt.Errorf("setting lame-duck: found %s, allowed are 0s and more", s.LameDuck))
	}
	return errors.Join(errs...)
}

// Values returns the settings by name, with durations as text.
func (s *Gateway) Values() map[string]any { return values(s) }

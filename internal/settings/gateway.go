package settings

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/quetzallug/quetzallug/internal/connlimit"
	"github.com/quetzallug/quetzallug/internal/logging"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	Instance         string        `mapstructure:"instance"`
	DataCentre       string        `mapstructure:"data-centre"`
	Listen           string        `mapstructure:"listen"`
	ReadyListen      string        `mapstructure:"ready-listen"`
	MetricsListen    string        `mapstructure:"metrics-listen"`
	Adapter          string        `mapstructure:"adapter"`
	AdapterAddress   string        `mapstructure:"adapter-address"`
	RetryShare       float64       `mapstructure:"retry-share"`
	RetrySlack       float64       `mapstructure:"retry-slack"`
	Instances        int           `mapstructure:"instances"`
	RetryWindow      time.Duration `mapstructure:"retry-window"`
	ConfigBound      time.Duration `mapstructure:"config-bound"`
	DrainBound       time.Duration `mapstructure:"drain-bound"`
	LeaseTTL         time.Duration `mapstructure:"lease-ttl"`
	OrderGuard       time.Duration `mapstructure:"order-guard"`
	DutyAddress      string        `mapstructure:"duty-address"`
	Duties           string        `mapstructure:"duties"`
	DutyRate         float64       `mapstructure:"duty-rate"`
	PeerListen       string        `mapstructure:"peer-listen"`
	UsageWindow      time.Duration `mapstructure:"usage-window"`
	UsageLate        time.Duration `mapstructure:"usage-late"`
	MaxServerRest    time.Duration `mapstructure:"max-server-rest"`
	StrictRevocation bool          `mapstructure:"strict-revocation"`
	RevocationBound  time.Duration `mapstructure:"revocation-bound"`
	MaxFiles         int           `mapstructure:"max-files"`
	MemoryMiB        int           `mapstructure:"memory"`
	MachineMiB       int           `mapstructure:"machine-memory"`
	LogLevel         string        `mapstructure:"log-level"`
	LogFormat        string        `mapstructure:"log-format"`
	LameDuck         time.Duration `mapstructure:"lame-duck"`
	Grace            time.Duration `mapstructure:"grace"`
}

// defaultInstances is the default of --instances: the largest number of instances that one deployment is
// designed for.
const defaultInstances = 340

// RetrySlackPerInstance returns the number of retries per window that this instance may send in addition
// to its share; it may be below 1. Instances do not know how many others run, so the slack is divided by
// their maximum number. One retry per instance would be too many: in one of the known deployments, 300
// instances share a slack of 102.
func (s *Gateway) RetrySlackPerInstance() float64 { return s.RetrySlack / float64(s.Instances) }

// requestMemoryTenths is the part of the machine's memory that requests may take, in tenths. The rest is for the
// connections, the tables and the garbage of the Go runtime, which may be as large as what is in use.
const requestMemoryTenths = 3

// RequestMemory returns the bytes that the requests in progress may take together.
func (s *Gateway) RequestMemory() int64 { return int64(s.MachineMiB) << 20 * requestMemoryTenths / 10 }

// storeListFraction is the part of the machine's memory that the entries of one list of the store may take. They are
// decoded beside what is known already, and a page is held three times while it is decoded.
const storeListFraction = 8

// StoreListMemory returns the bytes that the entries of one list of the store may have together.
func (s *Gateway) StoreListMemory() int64 { return int64(s.MachineMiB) << 20 / storeListFraction }

// Shares returns how the process divides its file descriptors.
func (s *Gateway) Shares() connlimit.Shares {
	peers := 0
	if s.PeerListen != "" && s.Duties != "" {
		peers = int(peerShare * float64(s.MaxFiles))
	}
	return connlimit.NewShares(s.MaxFiles, int64(s.MachineMiB)<<20, peers)
}

// peerShare is the part of the descriptors that connections between instances may use. On the smallest machine, with
// 3,075 descriptors, it is 461: one for each of 340 instances, and a margin.
const peerShare = 0.15

// MaxClosing returns how many connections of a listener may be closing because of a limit.
func (s *Gateway) MaxClosing() int { return connlimit.MaxClosing(int64(s.MachineMiB) << 20) }

// RuntimeMemory returns the soft limit of the Go runtime's memory in bytes.
func (s *Gateway) RuntimeMemory() int64 {
	if s.MemoryMiB == 0 {
		return int64(s.MachineMiB) << 20 / 2
	}
	return int64(s.MemoryMiB) << 20
}

// minRuntimeMiB is the least soft limit of the Go runtime's memory.
const minRuntimeMiB = 16

func checkMemory(mib int) error {
	if mib == 0 {
		return nil
	}
	return checkMinimum("memory", mib, minRuntimeMiB)
}

// MaxUnconfirmed returns the age of the configuration's last confirmation from which requests that need an API key are
// refused; 0 if they never are.
func (s *Gateway) MaxUnconfirmed() time.Duration {
	if !s.StrictRevocation {
		return 0
	}
	return s.RevocationBound
}

// AddGatewayFlags adds the flags of a gateway.
func AddGatewayFlags(f *pflag.FlagSet) {
	f.String("instance", "", "name of this instance")
	f.String("data-centre", "", "data centre of this instance")
	f.String("listen", "127.0.0.1:8080", "IP address and port for callers")
	f.String("ready-listen", "127.0.0.1:8081", "IP address and port of the readiness check")
	f.String("metrics-listen", "", "IP address and port of the metrics; empty for none")
	f.String("adapter", "adapter.platform", "module that converts between the protocols of the platform and quetzallug")
	f.String("adapter-address", "127.0.0.1:7000", "IP address and port of the platform's store")
	f.Float64("retry-share", 0.1, "maximum number of retries as a fraction of the requests for the same service")
	f.Float64("retry-slack", 0, "number of retries in a window that all instances together may send in addition to retry-share")
	f.Int("instances", defaultInstances, "maximum number of instances that share retry-slack")
	f.Duration("retry-window", 10*time.Second, "length of the sliding window of the retry budget")
	f.Duration("config-bound", 2*time.Second, "maximum time until an accepted configuration takes effect")
	f.Duration("drain-bound", 2*time.Second, "maximum time until a leaving backend server stops getting requests")
	f.Duration("lease-ttl", 3500*time.Millisecond, "time to live of the lease for orders to engines; with 0s this instance sends no orders")
	f.Duration("order-guard", 3*time.Second, "minimum time between the last order of one lease holder and the first order of the next")
	f.String("duty-address", "", "IP address and port at which the platform takes the calls that one instance at a time may make; empty for none")
	f.String("duties", "", "comma-separated duties for which the holder of the lease makes these calls: usage, scale, or the platform's names of them")
	f.Float64("duty-rate", 50, "number of these calls per second that the platform accepts from all instances together; half of it is used")
	f.String("peer-listen", "", "IP address and port at which other instances reach this one, if the duties include usage; empty for none")
	f.Duration("usage-window", 0, "length of the windows for which the runs of client accounts are reported; with 0s they are not reported")
	f.Duration("usage-late", 10*time.Second, "time after the end of a window within which its report is due")
	f.Duration("max-server-rest", 30*time.Second, "maximum time for which a backend server that refuses a request may refuse all further ones; longer wishes are cut")
	f.Bool("strict-revocation", false, "refuse requests that need an API key while the store has not confirmed the configuration for revocation-bound, because their keys may have been dropped")
	f.Duration("revocation-bound", 5*time.Second, "age of the store's last confirmation from which strict-revocation refuses; at least config-bound")
	f.Int("max-files", 1024, "number of file descriptors that the process may open (its ulimit -n); files, the store, the listeners, callers and backend servers get shares of them")
	f.Int("machine-memory", 192, "memory in MiB that the process may use; the bodies and buffered answers of all requests take at most 3/10 of it")
	f.Int("memory", 0, "soft limit of the Go runtime's memory in MiB; 0 is half of machine-memory")
	f.String("log-level", "info", "minimum level to log: debug, info, warning or error")
	f.String("log-format", logging.FormatJSON, "format of log lines: text or json")
	f.Duration("lame-duck", 2500*time.Millisecond, "time between the first failed readiness check and the close of the listener when the process stops; at most half of the grace time is used")
	f.Duration("grace", 8*time.Second, "maximum time between the stop signal and the end of the process")
}

// ReadGateway reads and validates the settings of a gateway.
func ReadGateway(cmd *cobra.Command) (*Gateway, error) {
	var s Gateway
	if err := unmarshal(cmd, &s); err != nil {
		return nil, err
	}
	return &s, s.Validate()
}

// Validate returns one error that joins the errors of all invalid settings.
func (s *Gateway) Validate() error {
	_, logErr := logging.New(nil, s.LogLevel, s.LogFormat)
	errs := []error{
		checkRequired("instance", s.Instance), checkRequired("data-centre", s.DataCentre), checkRequired("adapter", s.Adapter),
		checkAddress("listen", s.Listen), checkAddress("ready-listen", s.ReadyListen), checkAddress("adapter-address", s.AdapterAddress),
		checkPositive("retry-window", s.RetryWindow), checkPositive("config-bound", s.ConfigBound), checkPositive("drain-bound", s.DrainBound), checkPositive("grace", s.Grace), checkPositive("max-server-rest", s.MaxServerRest), checkPositive("revocation-bound", s.RevocationBound), checkMinimum("machine-memory", s.MachineMiB, 64), checkMemory(s.MemoryMiB), checkMinimum("max-files", s.MaxFiles, 64), checkMinimum("instances", s.Instances, 1), logErr,
	}
	if s.LeaseTTL != 0 && s.LeaseTTL < time.Second {
		errs = append(errs, fmt.Errorf("setting lease-ttl: found %s, must be 0s or at least 1s", s.LeaseTTL))
	}
	if s.StrictRevocation && s.RevocationBound < s.ConfigBound {
		errs = append(errs, fmt.Errorf("setting revocation-bound: found %s, must be at least config-bound, %s", s.RevocationBound, s.ConfigBound))
	}
	if s.OrderGuard < 0 {
		errs = append(errs, fmt.Errorf("setting order-guard: found %s, must be at least 0s", s.OrderGuard))
	}
	if s.DutyAddress != "" {
		errs = append(errs, checkAddress("duty-address", s.DutyAddress))
	}
	if s.PeerListen != "" {
		errs = append(errs, checkAddress("peer-listen", s.PeerListen))
	}
	if s.UsageWindow != 0 && s.UsageWindow < time.Second {
		errs = append(errs, fmt.Errorf("setting usage-window: found %s, must be 0s or at least 1s", s.UsageWindow))
	}
	if s.UsageWindow != 0 && s.UsageLate < time.Second {
		errs = append(errs, fmt.Errorf("setting usage-late: found %s, must be at least 1s", s.UsageLate))
	}
	if s.DutyRate <= 0 {
		errs = append(errs, fmt.Errorf("setting duty-rate: found %g, must be above 0", s.DutyRate))
	}
	if s.MetricsListen != "" {
		errs = append(errs, checkAddress("metrics-listen", s.MetricsListen))
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		errs = append(errs, fmt.Errorf("setting retry-share: found %g, must be between 0 and 1", s.RetryShare))
	}
	if s.RetrySlack < 0 {
		errs = append(errs, fmt.Errorf("setting retry-slack: found %g, must be at least 0", s.RetrySlack))
	}
	if s.LameDuck < 0 {
		errs = append(errs, fmt.Errorf("setting lame-duck: found %s, must be at least 0s", s.LameDuck))
	}
	return errors.Join(errs...)
}

// Values returns the settings by name, with durations formatted as strings.
func (s *Gateway) Values() map[string]any { return valuesByName(s) }

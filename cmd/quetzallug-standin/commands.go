package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
	"github.com/quetzallug/quetzallug/standin/instances"
	"github.com/quetzallug/quetzallug/standin/kv"
	"github.com/quetzallug/quetzallug/standin/site"
	"github.com/quetzallug/quetzallug/standin/weights"
)

const (
	envPrefix = "QUETZALLUG_STANDIN"
	// journalLimit is the number of journal records that a stand-in keeps. It limits the memory of a
	// stand-in that runs for hours.
	journalLimit = 200_000
)

func newRoot(log *logrus.Logger) *cobra.Command {
	root := &cobra.Command{
		Use:           "quetzallug-standin",
		Short:         "Serve a stand-in for a platform service or a backend server, for tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newKV(log), newInstances(log), newWeights(log), newEngine(log), newBackend(log), newSiteWorker())
	return root
}

// standin describes a subcommand. build returns the handler and a function that is called after the
// server has stopped.
type standin struct {
	use, short string
	build      func(v *viper.Viper) (http.Handler, func() error, error)
}

// command returns the subcommand. Its flags can also be set by QUETZALLUG_STANDIN_* environment
// variables.
func (s standin) command(log *logrus.Logger) *cobra.Command {
	v := viper.New()
	cmd := &cobra.Command{
		Use: s.use, Short: s.short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h, closeHandler, err := s.build(v)
			if err != nil {
				return err
			}
			defer func() { _ = closeHandler() }()
			return serve(cmd.Context(), log.WithField("standin", s.use), v.GetString("listen"), h)
		},
	}
	cmd.Flags().String("listen", "127.0.0.1:0", "address to listen on")
	v.SetEnvPrefix(envPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	cmd.PreRunE = func(cmd *cobra.Command, _ []string) error { return v.BindPFlags(cmd.Flags()) }
	return cmd
}

// newSiteWorker returns the command of a worker of the users' platform, whose faults are set by its
// configuration.
func newSiteWorker() *cobra.Command {
	var listen, config string
	cmd := &cobra.Command{
		Use: "site-worker", Short: "worker of the users' platform that breaks HTTP on demand", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var cfg site.ProcessConfig
			decoder := json.NewDecoder(strings.NewReader(config))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&cfg); err != nil {
				return fmt.Errorf("--config: %w", err)
			}
			l, err := (&net.ListenConfig{}).Listen(cmd.Context(), "tcp", listen)
			if err != nil {
				return fmt.Errorf("listen on %q: %w", listen, err)
			}
			defer context.AfterFunc(cmd.Context(), func() { _ = l.Close() })()
			if err := site.NewProcessWorker(cfg, os.Stdout).Serve(l); !errors.Is(err, net.ErrClosed) {
				return err
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&config, "config", "{}", "identity and rates of faults, as JSON")
	return cmd
}

func nothingToClose() error { return nil }

func newKV(log *logrus.Logger) *cobra.Command {
	cmd := standin{"kv", "key-value service", func(v *viper.Viper) (http.Handler, func() error, error) {
		s := kv.NewStore(kv.Limits{Writes: v.GetFloat64("writes"), Reads: v.GetFloat64("reads")})
		return s.Handler(), nothingToClose, nil
	}}.command(log)
	cmd.Flags().Float64("writes", 500, "writes per second, 0 for no limit")
	cmd.Flags().Float64("reads", 2000, "reads per second, 0 for no limit")
	return cmd
}

func newInstances(log *logrus.Logger) *cobra.Command {
	cmd := standin{"instances", "instance list with an optional delay", func(v *viper.Viper) (http.Handler, func() error, error) {
		return instances.New(v.GetDuration("lag")).Handler(), nothingToClose, nil
	}}.command(log)
	cmd.Flags().Duration("lag", 0, "delay until a change becomes visible")
	return cmd
}

func newWeights(log *logrus.Logger) *cobra.Command {
	cmd := standin{"weights", "rate-limited weight store", func(v *viper.Viper) (http.Handler, func() error, error) {
		return weights.New(v.GetInt64("rate")).Handler(), nothingToClose, nil
	}}.command(log)
	cmd.Flags().Int64("rate", weights.DefaultBytesPerSecond, "bytes per second")
	return cmd
}

func newBackend(log *logrus.Logger) *cobra.Command {
	cmd := standin{"backend", "plain backend server", func(v *viper.Viper) (http.Handler, func() error, error) {
		s := backend.New(backend.Config{
			ServiceTime: v.GetDuration("service-time"), Limit: v.GetInt("limit"), JournalLimit: journalLimit,
		})
		return s.Handler(), nothingToClose, nil
	}}.command(log)
	cmd.Flags().Duration("service-time", backend.DefaultServiceTime, "duration of one request, negative for none")
	cmd.Flags().Int("limit", backend.DefaultLimit, "requests that run at once")
	return cmd
}

func newEngine(log *logrus.Logger) *cobra.Command {
	cmd := standin{"engine", "model engine", func(v *viper.Viper) (http.Handler, func() error, error) {
		cfg, err := engineConfig(v)
		if err != nil {
			return nil, nil, err
		}
		e := engine.New(cfg)
		return e.Handler(), e.Close, nil
	}}.command(log)
	f := cmd.Flags()
	f.String("name", "engine", "name; with the seed, it determines the ID of each start of the engine")
	f.Uint64("seed", 1, "seed of the IDs of engine starts and of the gaps in cache events")
	f.String("role", string(external.EngineRoleMixed), "role at the first start: prefill, decode or mixed")
	// In the environment variables of the next two flags, list items are separated by spaces.
	f.StringSlice("model", nil, "model loaded at the first start, as name or name@version; repeatable")
	f.StringSlice("adapter", nil, "adapter loaded at the first start, as name or name@version; repeatable")
	f.Int("pieces", engine.DefaultPieces, "capacity in pieces of 1,024 tokens")
	f.Int("max-running", engine.DefaultMaxRunning, "requests that run at once")
	f.Duration("load-lag", 0, "age of load reports")
	f.Duration("order-time", engine.DefaultOrderTime, "duration of one order")
	f.Bool("check-fence", true, "refuse orders with an outdated fence number")
	f.Bool("instant", false, "generate without step time, for benchmarks")
	return cmd
}

func engineConfig(v *viper.Viper) (engine.Config, error) {
	role := external.EngineRole(v.GetString("role"))
	switch role {
	case external.EngineRolePrefill, external.EngineRoleDecode, external.EngineRoleMixed:
	default:
		return engine.Config{}, fmt.Errorf("role %q is not prefill, decode or mixed", role)
	}
	return engine.Config{
		Name: v.GetString("name"),
		Seed: v.GetUint64("seed"),
		Initial: external.EngineConfig{
			Role: role, Models: parseVersions(v.GetStringSlice("model")), Adapters: parseVersions(v.GetStringSlice("adapter")),
		},
		Pieces:       v.GetInt("pieces"),
		MaxRunning:   v.GetInt("max-running"),
		LoadLag:      v.GetDuration("load-lag"),
		OrderTime:    v.GetDuration("order-time"),
		CheckFence:   v.GetBool("check-fence"),
		Instant:      v.GetBool("instant"),
		JournalLimit: journalLimit,
	}, nil
}

// parseVersions parses models or adapters given as name or name@version.
func parseVersions(names []string) []external.ModelVersion {
	var out []external.ModelVersion
	for _, n := range names {
		name, version, _ := strings.Cut(n, "@")
		out = append(out, external.ModelVersion{Name: name, Version: version})
	}
	return out
}

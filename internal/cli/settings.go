package cli

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/kernel"
)

// Names of the settings. The environment variable of a setting is QUETZALLUG_ followed by the name in upper
// case, with underscores for hyphens.
const (
	settingKVModule  = "kv-module"
	settingKVAddress = "kv-address"
	settingEntry     = "entry"
	settingGateway   = "gateway"
	settingKey       = "key"
	settingCluster   = "cluster"
	settingTLSCert   = "tls-cert"
	settingTLSKey    = "tls-key"
	settingTLSCA     = "tls-ca"
	settingAuthor    = "author"
	settingTimeout   = "timeout"
	settingOutput    = "output"
)

const (
	defaultKVModule = "platform.kv.http"
	defaultCluster  = "quetzallug"
	defaultTimeout  = 10 * time.Second
	envPrefix       = "QUETZALLUG"
)

var outputFormats = []string{"table", "json", "yaml"}

func newViper() *viper.Viper {
	v := viper.New()
	v.SetEnvPrefix(envPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	return v
}

func (a *app) addFlags(fs *pflag.FlagSet) {
	fs.String(settingKVModule, defaultKVModule, "module of the key-value service")
	fs.String(settingKVAddress, "", "URL of the key-value service")
	fs.StringSlice(settingEntry, nil, "host:port of an entry; may be repeated")
	fs.StringSlice(settingGateway, nil, "host:port of the readiness or metrics listener of a gateway; may be repeated")
	fs.String(settingKey, "", "shared key of the cluster's processes; prefer QUETZALLUG_KEY, because flags are visible in the process list")
	fs.String(settingCluster, defaultCluster, "name of the cluster")
	fs.String(settingTLSCert, "", "client certificate for connections to the cluster, as PEM text or file; empty for cleartext")
	fs.String(settingTLSKey, "", "private key of the client certificate, as PEM text or file")
	fs.String(settingTLSCA, "", "CA certificate that signs the cluster's certificates, as PEM text or file")
	fs.String(settingAuthor, defaultAuthor(), "author of a change, as shown in the history")
	fs.Duration(settingTimeout, defaultTimeout, "time limit of a command")
	fs.StringP(settingOutput, "o", "table", "output format: "+strings.Join(outputFormats, ", "))
	// BindPFlags fails only for a nil flag.
	_ = a.settings.BindPFlags(fs)
}

// defaultAuthor returns USER@HOST, as far as they are known.
func defaultAuthor() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}

func (a *app) checkSettings() error {
	if o := a.output(); !slices.Contains(outputFormats, o) {
		return usagef("output format %q is not one of %s", o, strings.Join(outputFormats, ", "))
	}
	if d := a.settings.GetDuration(settingTimeout); d <= 0 {
		return usagef("timeout %q is not a positive duration such as 10s", a.settings.GetString(settingTimeout))
	}
	return nil
}

func (a *app) output() string { return a.settings.GetString(settingOutput) }

// entries returns the addresses given by --entry or the environment variable, in which they are separated by
// commas or spaces.
func (a *app) entries() ([]string, error) {
	addresses := strings.FieldsFunc(strings.Join(a.settings.GetStringSlice(settingEntry), ","), func(r rune) bool {
		return r == ',' || r == ' '
	})
	if len(addresses) == 0 {
		return nil, usagef("no address of an entry: set --entry or %s_ENTRY", envPrefix)
	}
	return addresses, nil
}

func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.settings.GetDuration(settingTimeout))
}

// withKV opens the key-value service and calls run with it, within the time limit of the command.
func (a *app) withKV(cmd *cobra.Command, run func(context.Context, external.KV) error) error {
	address := a.settings.GetString(settingKVAddress)
	if address == "" {
		return usagef("no address of the key-value service: set --%s or %s_KV_ADDRESS", settingKVAddress, envPrefix)
	}
	ctx, cancel := a.withTimeout(cmd.Context())
	defer cancel()
	kv, release, err := a.openKV(ctx, a.settings.GetString(settingKVModule), address)
	if err != nil {
		return err
	}
	defer release()
	return run(ctx, kv)
}

func openKV(ctx context.Context, module, address string) (external.KV, func(), error) {
	kv, err := kernel.Load[external.KV](ctx, module, kernel.Settings{"address": address})
	if err != nil {
		return nil, nil, &usageError{fmt.Errorf("load the module of the key-value service: %w", err)}
	}
	return kv, func() { _ = kernel.Cleanup(kv) }, nil
}

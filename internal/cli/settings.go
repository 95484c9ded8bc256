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

// Names of the settings. The environment variable of a setting is QUETZALLUG_ and the name in
// capitals, with underscores.
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

var outputs = []string{"table", "json", "yaml"}

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
	fs.StringSlice(settingEntry, nil, "host:port of an entry; may be given several times")
	fs.StringSlice(settingGateway, nil, "host:port of a gateway's readiness check or metrics; may be given several times")
	fs.String(settingKey, "", "shared key of the peers; prefer QUETZALLUG_KEY, since a flag shows in the process list")
	fs.String(settingCluster, defaultCluster, "name of the cluster")
	fs.String(settingTLSCert, "", "certificate for the entries, as PEM text or file; empty for cleartext")
	fs.String(settingTLSKey, "", "key of the certificate, as PEM text or file")
	fs.String(settingTLSCA, "", "authority that signs the cluster's certificates, as PEM text or file")
	fs.String(settingAuthor, defaultAuthor(), "author of a change, as the history shows it")
	fs.Duration(settingTimeout, defaultTimeout, "longest time of a command")
	fs.StringP(settingOutput, "o", "table", "output: "+strings.Join(outputs, ", "))
	// BindPFlags fails only for a nil flag.
	_ = a.v.BindPFlags(fs)
}

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
	if o := a.output(); !slices.Contains(outputs, o) {
		return usagef("output %q is not one of %s", o, strings.Join(outputs, ", "))
	}
	if d := a.v.GetDuration(settingTimeout); d <= 0 {
		return usagef("timeout %q is not a time above 0, such as 10s", a.v.GetString(settingTimeout))
	}
	return nil
}

func (a *app) output() string { return a.v.GetString(settingOutput) }

// entries returns the addresses of the entries. The environment variable separates them by
// commas or spaces.
func (a *app) entries() ([]string, error) {
	addresses := strings.FieldsFunc(strings.Join(a.v.GetStringSlice(settingEntry), ","), func(r rune) bool {
		return r == ',' || r == ' '
	})
	if len(addresses) == 0 {
		return nil, usagef("no entry is known: set --entry or %s_ENTRY", envPrefix)
	}
	return addresses, nil
}

func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.v.GetDuration(settingTimeout))
}

// withKV runs a command with the key-value service.
func (a *app) withKV(cmd *cobra.Command, run func(context.Context, external.KV) error) error {
	address := a.v.GetString(settingKVAddress)
	if address == "" {
		return usagef("no key-value service is known: set --%s or %s_KV_ADDRESS", settingKVAddress, envPrefix)
	}
	ctx, cancel := a.withTimeout(cmd.Context())
	defer cancel()
	kv, release, err := a.openKV(ctx, a.v.GetString(settingKVModule), address)
	if err != nil {
		return err
	}
	defer release()
	return run(ctx, kv)
}

func loadKV(ctx context.Context, module, address string) (external.KV, func(), error) {
	kv, err := kernel.Load[external.KV](ctx, module, kernel.Settings{"address": address})
	if err != nil {
		return nil, nil, &usageError{fmt.Errorf("key-value service: %w", err)}
	}
	return kv, func() { _ = kernel.Cleanup(kv) }, nil
}

package main

import (
	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/quetzallug/quetzallug/internal/settings"
)

// redactedValue replaces secrets in printed settings.
const redactedValue = "(hidden)"

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Print the effective settings of a role",
	}
	entry := &cobra.Command{
		Use: "entry", Short: "Print the settings of an entry", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.ReadEntry(cmd)
			if s != nil {
				redact(&s.Common)
				printSettings(cmd, s.Values())
			}
			return err
		},
	}
	settings.AddEntryFlags(entry.Flags())
	sidecar := &cobra.Command{
		Use: "sidecar", Short: "Print the settings of a sidecar", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.ReadSidecar(cmd)
			if s != nil {
				redact(&s.Common)
				printSettings(cmd, s.Values())
			}
			return err
		},
	}
	settings.AddSidecarFlags(sidecar.Flags())
	gateway := &cobra.Command{
		Use: "gateway", Short: "Print the settings of a gateway", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.ReadGateway(cmd)
			if s != nil {
				printSettings(cmd, s.Values())
			}
			return err
		},
	}
	settings.AddGatewayFlags(gateway.Flags())
	cmd.AddCommand(entry, sidecar, gateway)
	return cmd
}

// redact replaces the secrets among the settings.
func redact(c *settings.Common) {
	for _, secret := range []*string{&c.Key, &c.TLSKey} {
		if *secret != "" {
			*secret = redactedValue
		}
	}
}

func printSettings(cmd *cobra.Command, values map[string]any) {
	b, err := yaml.Marshal(values)
	if err != nil {
		cmd.PrintErrln(err)
		return
	}
	_, _ = cmd.OutOrStdout().Write(b)
}

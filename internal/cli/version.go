package cli

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

type versionView struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this tool",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v := versionView{Version: "unknown", Go: runtime.Version()}
			if info, ok := debug.ReadBuildInfo(); ok {
				v.Version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						v.Revision = s.Value
					}
				}
			}
			t := &table{header: []string{"VERSION", "REVISION", "GO"}}
			t.add(v.Version, v.Revision, v.Go)
			return a.emit(v, t)
		},
	}
}

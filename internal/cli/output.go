package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
)

// table holds a command's data for table output.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// emit writes data to standard output in the selected format. JSON and YAML have the same fields. The table is
// used for table output only, where an empty cell is shown as "-".
func (a *app) emit(data any, t *table) error {
	switch a.output() {
	case "json":
		enc := json.NewEncoder(a.streams.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(data)
	case "yaml":
		b, err := json.Marshal(data)
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		if b, err = yaml.JSONToYAML(b); err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		_, err = a.streams.Out.Write(b)
		return err
	}
	w := tabwriter.NewWriter(a.streams.Out, 0, 4, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		for i, cell := range row {
			if cell == "" {
				row[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (a *app) print(text string) error {
	_, err := fmt.Fprint(a.streams.Out, text)
	return err
}

// formatTime formats a time as RFC 3339 in UTC, and the zero time as an empty string.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// fromUnixMS converts Unix milliseconds to a time. 0 means no time.
func fromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
)

// table is the tabular form of a command's data.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// emit writes data in the chosen output. JSON and YAML have the same fields.
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

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func fromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

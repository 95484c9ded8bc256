package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// logLine has the fields that explain reads from a line of a gateway's log. A line with the message "request" has
// Outcome, Sends, Runs, UncachedTokens, ExpectedMS, FirstMS and ElapsedMS; one with the message "attempt" has Result
// and TookMS. Reader is the prefill server, UncachedTokens the number of prompt tokens to prefill, and Config the
// version of the configuration. Sends is the number of times that the request was sent to a backend server, Runs
// the number of those in which it may have run.
type logLine struct {
	Time           string `json:"time"`
	Instance       string `json:"instance"`
	Message        string `json:"msg"`
	Request        string `json:"request"`
	Route          string `json:"route"`
	Service        string `json:"service"`
	Outcome        string `json:"outcome"`
	Result         string `json:"result"`
	Cause          string `json:"cause"`
	Choice         string `json:"choice"`
	Server         string `json:"server"`
	Reader         string `json:"reader"`
	Config         uint64 `json:"config"`
	Sends          int    `json:"sends"`
	Runs           int    `json:"runs"`
	Events         int    `json:"events"`
	UncachedTokens int    `json:"unread"`
	ExpectedMS     int64  `json:"expected_ms"`
	FirstMS        int64  `json:"first_ms"`
	ElapsedMS      int64  `json:"elapsed_ms"`
	TookMS         int64  `json:"took_ms"`
}

// maxLogLineBytes limits the length of one log line.
const maxLogLineBytes = 1 << 20

// explainLogs prints the log lines about one request and, with table output, a summary.
func (a *app) explainLogs(files []string, id string) error {
	var lines []logLine
	for _, name := range files {
		found, err := readLog(a.streams.In, name, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line about request %q in %s", id, strings.Join(files, ", "))
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return strings.Compare(x.Time, y.Time) })
	t := &table{header: []string{"TIME", "INSTANCE", "LINE", "RESULT", "CAUSE", "SERVER", "READER", "CHOICE"}}
	for _, l := range lines {
		t.add(l.Time, l.Instance, l.Message, l.Outcome+l.Result, l.Cause, l.Server, l.Reader, l.Choice)
	}
	if err := a.emit(lines, t); err != nil {
		return err
	}
	if a.output() != "table" {
		return nil
	}
	return a.print("\n" + summarise(lines) + "\n")
}

// readLog returns the lines about a request. It skips lines that are not JSON and ignores text before the JSON
// object, because both are common in logs that a collector has merged.
func readLog(stdin io.Reader, name, id string) ([]logLine, error) {
	input := stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		defer f.Close()
		input = f
	}
	var out []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		var l logLine
		if json.Unmarshal(text[start:], &l) == nil && l.Request == id {
			out = append(out, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %q: %w", name, err)
	}
	return out, nil
}

// summarise describes in one paragraph what happened to a request.
func summarise(lines []logLine) string {
	var b strings.Builder
	for _, l := range lines {
		if l.Message == "attempt" {
			fmt.Fprintf(&b, "An attempt at %s of service %s ended after %d ms as %s (%s). ", orNone(l.Server), l.Service, l.TookMS, l.Result, orNone(l.Cause))
		}
	}
	final := slices.IndexFunc(lines, func(l logLine) bool { return l.Message == "request" })
	if final < 0 {
		b.WriteString("The request has no last line: its process ended, or the line was left out.")
		return b.String()
	}
	l := lines[final]
	switch l.Outcome {
	case "answered":
		fmt.Fprintf(&b, "%s answered by %s: the first part after %d ms (expected %d ms), the whole after %d ms.", l.Request, orNone(l.Server), l.FirstMS, l.ExpectedMS, l.ElapsedMS)
	case "refused":
		fmt.Fprintf(&b, "%s refused after %d ms because of %s: it did not run. ", l.Request, l.ElapsedMS, orNone(l.Cause))
		if l.Cause == "overload" {
			fmt.Fprintf(&b, "Its first part was expected after %d ms, with %d prompt tokens to read at %s.", l.ExpectedMS, l.UncachedTokens, orNone(strings.Trim(l.Reader+" "+l.Server, " ")))
		}
	case "failed":
		fmt.Fprintf(&b, "%s got the backend server's own failure from %s (%s) after %d ms.", l.Request, orNone(l.Server), orNone(l.Cause), l.ElapsedMS)
	default:
		fmt.Fprintf(&b, "%s ended as %s after %d ms and %d events (%s); it may have run on %d backend servers.", l.Request, l.Outcome, l.ElapsedMS, l.Events, orNone(l.Cause), l.Runs)
	}
	return b.String()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// Package e2e_test tests requests and operator commands end to end, with all programs as separate
// processes.
package e2e_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/engine"
)

const (
	root        = "../.."
	model       = "halte-verdict"
	callerCount = 200
)

func startCluster(t *testing.T) *testcluster.Cluster {
	t.Helper()
	bin, dir := t.TempDir(), t.TempDir()
	require.NoError(t, testcluster.Build(root, bin))
	c, err := testcluster.Start(t.Context(), testcluster.Config{
		Bin: bin, Dir: dir, Entries: 2,
		Pools: []testcluster.Pool{
			{Service: "halte-llm", DataCentre: "joburg-cbd", Workers: 1, CheckFence: true},
			{Service: "halte-llm", DataCentre: "pta-east", Workers: 1, CheckFence: true},
			{Service: "halte-llm", DataCentre: "midrand", Workers: 1},
			{Service: "halte-api", DataCentre: "joburg-cbd", Workers: 1, Plain: true},
			{Service: "halte-api", DataCentre: "midrand", Workers: 1, Plain: true},
		},
		EngineArgs: []string{"--order-time", "200ms"},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, c.Stop())
		if t.Failed() {
			dumpLogs(t, dir)
		}
	})
	for _, service := range []string{"halte-llm", "halte-api"} {
		require.NoError(t, c.Apply(t.Context(), withLongDeadlines(t, service)))
	}
	require.NoError(t, c.WaitServing(t.Context(), http.MethodPost, "/v1/completions", completionBody("ready?", 1, false)))
	require.NoError(t, c.WaitServing(t.Context(), http.MethodGet, "/svc/halte-api/schedules/7", ""))
	return c
}

// withLongDeadlines writes a copy of an example document with deadlines of 10 minutes, which even a busy
// machine meets, and returns its path. Admission refuses requests that would miss their deadlines, so the
// original deadlines would make the tests depend on the speed of the machine.
func withLongDeadlines(t *testing.T, service string) string {
	t.Helper()
	body, err := os.ReadFile(filepath.Join(root, "examples", "transport", service+".yaml"))
	require.NoError(t, err)
	text := regexp.MustCompile(`(first_token|between_tokens|total): \w+`).ReplaceAllString(string(body), "$1: 10m")
	file := filepath.Join(t.TempDir(), service+".yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func dumpLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		b, _ := os.ReadFile(f)
		if len(b) > 4000 {
			b = b[len(b)-4000:]
		}
		t.Logf("%s:\n%s", filepath.Base(f), b)
	}
}

func completionBody(prompt string, maxTokens int, stream bool) string {
	b, _ := json.Marshal(map[string]any{
		"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": stream, "seed": 7,
	})
	return string(b)
}

// Guards against answers that are truncated, corrupted or delivered to another caller when many
// callers send requests through several entry processes concurrently.
func TestWholeAnswersForConcurrentCallers(t *testing.T) {
	c := startCluster(t)
	var wg sync.WaitGroup
	errs := make(chan error, 2*callerCount)
	for i := range callerCount {
		entry := c.Entries[i%len(c.Entries)].Address
		wg.Go(func() { errs <- checkCompletion(entry, i) })
		wg.Go(func() { errs <- checkSchedule(entry, i) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

func checkCompletion(entry string, caller int) error {
	prompt := fmt.Sprintf("caller %d asks for the next arrival at stop %d", caller, caller*3)
	want, _, finish := engine.Answer(&external.GenerateRequest{Model: model, Prompt: prompt, MaxTokens: 20, Seed: 7})
	resp, err := send(entry, caller, http.MethodPost, "/v1/completions", completionBody(prompt, 20, true))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, reason, err := readEvents(resp.Body)
	if err != nil {
		return fmt.Errorf("caller %d: %w", caller, err)
	}
	if got != want || reason != finish {
		return fmt.Errorf("caller %d: got %q (%s), want %q (%s)", caller, got, reason, want, finish)
	}
	return nil
}

// send sends a request with the credentials of the given caller. Any status other than 200 is an error.
func send(entry string, caller int, method, path, body string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", fmt.Sprintf("Bearer caller-%d", caller))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return nil, fmt.Errorf("caller %d: %s %s: status %d: %s", caller, method, path, resp.StatusCode, b)
	}
	return resp, nil
}

// readEvents returns the text and finish reason of a stream. The stream must end with [DONE].
func readEvents(r io.Reader) (text, finish string, err error) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return text, finish, nil
		}
		var event struct {
			Choices []struct {
				Text         string  `json:"text"`
				FinishReason *string `json:"finish_reason"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(data, &event); err != nil {
			return "", "", err
		}
		if len(event.Choices) != 1 {
			return "", "", fmt.Errorf("event without exactly one choice: %s", data)
		}
		text += event.Choices[0].Text
		if f := event.Choices[0].FinishReason; f != nil {
			finish = *f
		}
	}
	return "", "", fmt.Errorf("stream ended without [DONE]: %w", s.Err())
}

func checkSchedule(entry string, caller int) error {
	resp, err := send(entry, caller, http.MethodGet, fmt.Sprintf("/svc/halte-api/schedules/%d", caller), "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(b), fmt.Sprintf("/schedules/%d\"", caller)) {
		return fmt.Errorf("caller %d: status %d, want 200 and a body with the requested path: %s", caller, resp.StatusCode, b)
	}
	return nil
}

// Guards against operator commands that fail to reach the running processes.
func TestOperatorsTool(t *testing.T) {
	c := startCluster(t)
	status, err := c.Tool(t.Context(), "status")
	require.NoError(t, err)
	require.Contains(t, status, "entry-0")
	require.Contains(t, status, "entry-1")
	engines, err := c.Tool(t.Context(), "engines")
	require.NoError(t, err)
	require.Contains(t, engines, "halte-llm-midrand-0")
	resp, err := send(c.Entries[0].Address, 1, http.MethodGet, "/svc/halte-api/schedules/1", "")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	explanation, err := c.Tool(t.Context(), "explain", resp.Header.Get("X-Request-Id"))
	require.NoError(t, err)
	require.Contains(t, explanation, "halte-api-")
}

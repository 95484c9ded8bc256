// Command mutants runs mutation tests. It applies each source change listed in internal/mutants to a
// scratch copy of the module and checks that the named test passes without the change and fails with it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
)

// testTimeout limits one test run. A mutant that makes a test hang counts as detected only if the test
// itself reports a failure, so the limit leaves tests time to reach their own timeouts.
const testTimeout = 5 * time.Minute

type mutant struct {
	Name      string `yaml:"name"`
	File      string `yaml:"file"`
	Old       string `yaml:"old"`
	New       string `yaml:"new"`
	Test      string `yaml:"test"`
	Invariant string `yaml:"invariant"`
}

var (
	errNotAllDetected = errors.New("without the result \"detected\"; see the table")
	errNoLists        = errors.New("no list of mutants")
)

func main() {
	file := flag.String("file", "internal/mutants/*.yaml", "pattern of the lists of mutants")
	only := flag.String("only", "", "run only mutants whose name contains this text")
	flag.Parse()
	if err := run(*file, *only); err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(1)
	}
}

func run(pattern, only string) error {
	mutants, err := loadAll(pattern)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "quetzallug-mutants-")
	if err != nil {
		return fmt.Errorf("create scratch directory: %w", err)
	}
	defer os.RemoveAll(dir)
	if err := copyModule(dir); err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MUTANT\tINVARIANT\tTEST\tRESULT")
	undetected, baseline := 0, map[string]string{}
	for _, m := range mutants {
		if !strings.Contains(m.Name, only) {
			continue
		}
		if _, ok := baseline[m.Test]; !ok {
			baseline[m.Test] = runTest(dir, m.Test)
		}
		result := "test does not pass without the mutant: " + baseline[m.Test]
		if baseline[m.Test] == passed {
			result = runMutant(dir, m)
		}
		if result != detected {
			undetected++
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", m.Name, m.Invariant, m.Test, result)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	if undetected > 0 {
		return fmt.Errorf("%d mutants %w", undetected, errNotAllDetected)
	}
	return nil
}

// loadAll reads the lists of mutants whose file names match a pattern.
func loadAll(pattern string) ([]mutant, error) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("pattern %q: %w", pattern, errors.Join(err, errNoLists))
	}
	var all []mutant
	for _, f := range files {
		list, err := load(f)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

func load(file string) ([]mutant, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read list: %w", err)
	}
	var mutants []mutant
	if err := yaml.UnmarshalWithOptions(data, &mutants, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("list %q: %w", file, err)
	}
	return mutants, nil
}

// copyModule copies to dir the files that git tracks and the untracked ones that it does not ignore, so
// that no build output is copied.
func copyModule(dir string) error {
	out, err := exec.Command("git", "ls-files", "-z", "--cached", "--others", "--exclude-standard").Output()
	if err != nil {
		return fmt.Errorf("list files: %w", err)
	}
	for name := range strings.SplitSeq(strings.TrimRight(string(out), "\x00"), "\x00") {
		data, err := os.ReadFile(name)
		if errors.Is(err, os.ErrNotExist) {
			continue // deleted in the working tree
		}
		if err != nil {
			return fmt.Errorf("copy: %w", err)
		}
		target := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(target), 0o700); err != nil {
			return fmt.Errorf("copy: %w", err)
		}
		if err := os.WriteFile(target, data, 0o600); err != nil {
			return fmt.Errorf("copy: %w", err)
		}
	}
	return nil
}

const (
	passed   = "passed"
	failed   = "failed"
	detected = "detected"
)

// runMutant applies one mutant, runs its test and restores the file. It returns detected, "SURVIVED" or,
// if the test gave no result, the reason.
func runMutant(dir string, m mutant) string {
	path := filepath.Join(dir, m.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	if n := strings.Count(string(source), m.Old); n != 1 {
		return fmt.Sprintf("`old` occurs %d times in %s", n, m.File)
	}
	mutated := strings.Replace(string(source), m.Old, m.New, 1)
	if err := os.WriteFile(path, []byte(mutated), 0o600); err != nil {
		return err.Error()
	}
	result := runTest(dir, m.Test)
	if err := os.WriteFile(path, source, 0o600); err != nil {
		return err.Error()
	}
	switch result {
	case failed:
		return detected
	case passed:
		return "SURVIVED"
	}
	return result
}

// runTest runs one test, given as "package Test/sub". It distinguishes a failed test from other errors,
// such as a failed build, and returns passed, failed or the error.
func runTest(dir, spec string) string {
	pkg, name, ok := strings.Cut(spec, " ")
	if !ok {
		return fmt.Sprintf("test %q is not a package and a name", spec)
	}
	pattern := "^" + strings.ReplaceAll(name, "/", "$/^") + "$"
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-v", "-run", pattern, pkg)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	switch {
	case strings.Contains(string(out), "--- FAIL: "):
		return failed
	case err != nil:
		return "ERROR: " + lastLine(out)
	case !strings.Contains(string(out), "--- PASS: "+strings.Split(name, "/")[0]):
		return "ERROR: no such test"
	}
	return passed
}

func lastLine(out []byte) string {
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	return lines[len(lines)-1]
}

package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/document/registry"
)

// revisionPattern matches the first line of the output of 'get', from which 'apply' takes the base revision.
// The line is not part of the stored document.
var revisionPattern = regexp.MustCompile(`(?m)\A# quetzallug: service (\S+) revision (\d+)\b[^\n]*\n`)

func revisionComment(r *registry.Record) string {
	return fmt.Sprintf("# quetzallug: service %s revision %d by %q at %s\n", r.Service, r.Revision, r.Author, r.Time.UTC().Format(time.RFC3339))
}

// documentFile is a document read from a file.
type documentFile struct {
	name    string
	service *document.Service
	// body is the content without the revision comment.
	body []byte
	// base is the revision in the comment. hasBase is false if there is no comment, or if it names another
	// service.
	base    uint64
	hasBase bool
}

// readDocument reads and validates a document and prints the warnings. The name "-" stands for standard input.
func (a *app) readDocument(name string) (*documentFile, error) {
	body, err := a.readWithLF(name)
	if err != nil {
		return nil, err
	}
	s, warnings, err := document.ParseFile(name, body)
	for _, w := range warnings {
		a.noticef("warning: %v", w)
	}
	if err != nil {
		return nil, err
	}
	f := &documentFile{name: name, service: s, body: body}
	m := revisionPattern.FindSubmatch(body)
	if m == nil {
		return f, nil
	}
	f.body = body[len(m[0]):]
	f.base, err = strconv.ParseUint(string(m[2]), 10, 64)
	f.hasBase = err == nil && string(m[1]) == s.Service
	return f, nil
}

// readWithLF reads a file, or standard input for "-", and converts line ends to LF.
func (a *app) readWithLF(name string) ([]byte, error) {
	input := a.streams.In
	if name != "-" {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, &usageError{err}
		}
		defer func() { _ = f.Close() }()
		input = f
	}
	// Reads one byte more than allowed so that validation reports a document that is too large.
	body, err := io.ReadAll(io.LimitReader(input, document.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return bytes.ReplaceAll(body, []byte("\r\n"), []byte("\n")), nil
}

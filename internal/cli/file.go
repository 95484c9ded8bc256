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

// revisionLine is the comment with which 'get' begins a document and from which 'apply' takes
// the base revision. It is not part of the stored document.
var revisionLine = regexp.MustCompile(`(?m)\A# quetzallug: service (\S+) revision (\d+)\b[^\n]*\n`)

func revisionComment(r *registry.Record) string {
	return fmt.Sprintf("# quetzallug: service %s revision %d by %q at %s\n", r.Service, r.Revision, r.Author, r.Time.UTC().Format(time.RFC3339))
}

// file is a document read from a file.
type file struct {
	name    string
	service *document.Service
	// body has no revision comment.
	body []byte
	// base is the revision in the comment, if hasBase is true.
	base    uint64
	hasBase bool
}

// readFile reads and validates a document; "-" is the standard input. Warnings are printed.
func (a *app) readFile(name string) (*file, error) {
	body, err := a.readBody(name)
	if err != nil {
		return nil, err
	}
	s, warnings, err := document.ParseFile(name, body)
	for _, w := range warnings {
		a.note("warning: %v", w)
	}
	if err != nil {
		return nil, err
	}
	f := &file{name: name, service: s, body: body}
	m := revisionLine.FindSubmatch(body)
	if m == nil {
		return f, nil
	}
	f.body = body[len(m[0]):]
	f.base, err = strconv.ParseUint(string(m[2]), 10, 64)
	f.hasBase = err == nil && string(m[1]) == s.Service
	return f, nil
}

func (a *app) readBody(name string) ([]byte, error) {
	in := a.streams.In
	if name != "-" {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, &usageError{err}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	// One byte above the bound, so that the validation reports the size.
	body, err := io.ReadAll(io.LimitReader(in, document.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return bytes.ReplaceAll(body, []byte("\r\n"), []byte("\n")), nil
}

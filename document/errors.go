package document

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Error is one fault of a document. Line and Column are 0 if the fault has no place in a file.
type Error struct {
	File   string `yaml:"file,omitempty" json:"file,omitempty"`
	Line   int    `yaml:"line" json:"line"`
	Column int    `yaml:"column" json:"column"`
	// Field is the path of the field, such as "kinds[0].deadlines.total".
	Field   string `yaml:"field" json:"field"`
	Found   string `yaml:"found" json:"found"`
	Allowed string `yaml:"allowed" json:"allowed"`
}

// Error implements error as "file:line:col: field: found X; allowed Y".
func (e *Error) Error() string {
	file, field := e.File, e.Field
	if file == "" {
		file = "document"
	}
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%s:%d:%d: %s: found %s; allowed %s", file, e.Line, e.Column, field, e.Found, e.Allowed)
}

// Errors are all faults of a document in order of their place.
type Errors []*Error

// Error implements error with one fault per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives errors.As access to the single faults.
func (es Errors) Unwrap() []error {
	out := make([]error, len(es))
	for i, e := range es {
		out[i] = e
	}
	return out
}

// Faults returns the faults in err, or nil if err is not a document error.
func Faults(err error) Errors {
	var es Errors
	if errors.As(err, &es) {
		return es
	}
	var e *Error
	if errors.As(err, &e) {
		return Errors{e}
	}
	return nil
}

// maxErrors bounds the faults that are reported at once.
const maxErrors = 100

func (es Errors) sorted() Errors {
	slices.SortStableFunc(es, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return es[:min(len(es), maxErrors)]
}

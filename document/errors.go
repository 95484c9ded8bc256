package document

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Error is one error or warning in a document. Line and Column are 0 if the document was built in
// memory rather than parsed.
type Error struct {
	File   string `yaml:"file,omitempty" json:"file,omitempty"`
	Line   int    `yaml:"line" json:"line"`
	Column int    `yaml:"column" json:"column"`
	// Field is the path of the field, such as "kinds[0].deadlines.total".
	Field string `yaml:"field" json:"field"`
	// Found and Allowed are phrases for the message "found X; allowed Y".
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

// Errors is a list of errors or warnings. Parse, ParseFile and Validate return it sorted by position,
// with at most maxErrors entries.
type Errors []*Error

// Error implements error and returns one line per error.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the individual errors available to errors.As.
func (es Errors) Unwrap() []error {
	out := make([]error, len(es))
	for i, e := range es {
		out[i] = e
	}
	return out
}

// AsErrors returns the document errors that err wraps, or nil if there are none.
func AsErrors(err error) Errors {
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

// maxErrors limits the number of errors in one report.
const maxErrors = 100

// sortAndTruncate sorts the errors by position in place and returns the first maxErrors of them.
func (es Errors) sortAndTruncate() Errors {
	slices.SortStableFunc(es, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return es[:min(len(es), maxErrors)]
}

package document

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxBytes bounds a document. The key-value service holds values up to 1 MiB, and the record
// around the document encodes it in base64, which adds a third.
const MaxBytes = 700 << 10

const (
	// maxDepth bounds nested flow collections; the parser recurses once per level.
	maxDepth = 16
	// maxLineBytes bounds a line, and with it the nesting that indentation can express.
	maxLineBytes = 1024
	// maxTokens bounds the parser's time, which grows with the square of the number of fields
	// in one mapping: 100,000 fields took 21 s.
	maxTokens = 40_000
)

// Defaults of optional fields.
const (
	DefaultGoodputWeight    = 1.0
	DefaultRoleChangeWeight = 1.0
	DefaultQueue            = 64
	DefaultBodyKiB          = 1024
	DefaultConcurrent       = 256
)

// Parse decodes a document strictly, applies the defaults and validates it. Its error is of
// type Errors.
func Parse(body []byte) (*Service, error) {
	s, _, err := ParseFile("", body)
	return s, err
}

// ParseFile is Parse with a file name for the errors. The warnings are faults that do not
// make the document invalid.
func ParseFile(file string, body []byte) (s *Service, warnings Errors, err error) {
	s, d, err := decode(body)
	if err == nil {
		v := &validator{errs: d.errs, positions: d.positions}
		v.service(s)
		warnings = v.warnings.sorted()
		if len(v.errs) > 0 {
			err = v.errs.sorted()
		}
	}
	for _, e := range append(Faults(err), warnings...) {
		e.File = file
	}
	if err != nil {
		return nil, warnings, err
	}
	s.applyDefaults()
	return s, warnings, nil
}

// decode returns an error only if the body has no usable syntax tree; the faults of single
// fields are in the decoder.
func decode(body []byte) (s *Service, d *decoder, err error) {
	if err := checkShape(body); err != nil {
		return nil, nil, Errors{err}
	}
	// The parser has panicked on malformed input in past versions; a document from the
	// key-value service must never end the process.
	defer func() {
		if r := recover(); r != nil {
			s, d = nil, nil
			err = Errors{{Line: 1, Column: 1, Found: fmt.Sprintf("syntax that the parser cannot read (%v)", r), Allowed: "YAML"}}
		}
	}()
	f, err := parser.ParseBytes(body, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, nil, Errors{syntaxError(err)}
	}
	root, fault := rootNode(f)
	if fault != nil {
		return nil, nil, Errors{fault}
	}
	s, d = &Service{}, &decoder{positions: map[string]position{}}
	d.structure(root, "", reflect.ValueOf(s).Elem())
	return s, d, nil
}

func rootNode(f *ast.File) (ast.Node, *Error) {
	var roots []ast.Node
	for _, doc := range f.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			roots = append(roots, doc.Body)
		}
	}
	switch {
	case len(roots) == 0:
		return nil, &Error{Line: 1, Column: 1, Found: "an empty file", Allowed: "one document"}
	case len(roots) > 1 || len(f.Docs) > 1:
		p := nodePosition(roots[len(roots)-1])
		return nil, &Error{Line: p.line, Column: p.column, Found: "a second document", Allowed: "one document in a file"}
	}
	if _, ok := mapEntries(roots[0]); !ok {
		p := nodePosition(roots[0])
		return nil, &Error{Line: p.line, Column: p.column, Found: describe(roots[0]), Allowed: "a mapping"}
	}
	return roots[0], nil
}

func syntaxError(err error) *Error {
	e := &Error{Line: 1, Column: 1, Found: "a syntax error: " + err.Error(), Allowed: "YAML"}
	var ye yaml.Error
	if errors.As(err, &ye) {
		p := tokenPosition(ye.GetToken())
		e.Line, e.Column = p.line, p.column
		e.Found = "a syntax error: " + ye.GetMessage()
	}
	return e
}

// checkShape refuses bodies that the parser must not see: too large, binary or so deeply
// nested that its recursion could exhaust the stack.
func checkShape(body []byte) *Error {
	if len(body) > MaxBytes {
		return &Error{Line: 1, Column: 1, Found: strconv.Itoa(len(body)) + " bytes", Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}
	}
	line, start := 1, 0
	for i, b := range body {
		switch {
		case b == '\n':
			line, start = line+1, i+1
		case b < ' ' && b != '\t' && b != '\r' || b == 0x7f:
			return &Error{Line: line, Column: i - start + 1, Found: fmt.Sprintf("control character 0x%02x", b), Allowed: "text"}
		case i-start >= maxLineBytes:
			return &Error{Line: line, Column: 1, Found: "a longer line", Allowed: fmt.Sprintf("at most %d bytes in a line", maxLineBytes)}
		}
	}
	if !utf8.Valid(body) {
		return &Error{Line: 1, Column: 1, Found: "invalid UTF-8", Allowed: "UTF-8"}
	}
	tokens := lexer.Tokenize(string(body))
	if len(tokens) > maxTokens {
		return &Error{Line: 1, Column: 1, Found: fmt.Sprintf("%d tokens", len(tokens)), Allowed: fmt.Sprintf("at most %d tokens", maxTokens)}
	}
	depth := 0
	for _, tk := range tokens {
		switch tk.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		}
		if depth > maxDepth {
			p := tokenPosition(tk)
			return &Error{Line: p.line, Column: p.column, Found: "deeper nesting", Allowed: fmt.Sprintf("at most %d levels", maxDepth)}
		}
	}
	return nil
}

func (s *Service) applyDefaults() {
	setDefault(&s.Weights.Goodput, DefaultGoodputWeight)
	setDefault(&s.Weights.RoleChanges, DefaultRoleChangeWeight)
	setDefault(&s.Limits.Queue, DefaultQueue)
	setDefault(&s.Limits.BodyKiB, DefaultBodyKiB)
	setDefault(&s.Limits.PerCaller.Concurrent, DefaultConcurrent)
	if l := &s.Limits.PerCaller; l.RequestsPerSecond > 0 {
		setDefault(&l.Burst, int(math.Ceil(l.RequestsPerSecond)))
	}
	if s.Type != TypeModel {
		return
	}
	for i := range s.Pools {
		if p := &s.Pools[i]; p.Roles == (Roles{}) {
			p.Roles.Mixed = p.Workers
		}
	}
}

func setDefault[T int | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// FindKind returns the first kind that matches, or nil.
func (s *Service) FindKind(m Match) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Match.matches(m) {
			return &s.Kinds[i]
		}
	}
	return nil
}

func (m Match) matches(r Match) bool {
	return (m.Kind == "" || m.Kind == r.Kind) &&
		(m.Model == "" || m.Model == r.Model) &&
		(m.Method == "" || m.Method == r.Method) &&
		(m.PathPrefix == "" || len(r.PathPrefix) >= len(m.PathPrefix) && r.PathPrefix[:len(m.PathPrefix)] == m.PathPrefix)
}

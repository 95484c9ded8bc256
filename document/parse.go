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

// MaxBytes is the maximum size of a document. The key-value service accepts values of up to 1 MiB,
// and the stored record contains the document in base64, which adds a third to its size.
const MaxBytes = 700 << 10

const (
	// maxDepth limits the nesting of flow collections, because the parser recurses once per level.
	maxDepth = 16
	// maxLineBytes limits the length of a line, and thereby the nesting depth of block collections.
	maxLineBytes = 1024
	// maxYAMLTokens limits the parsing time, which is quadratic in the number of fields of a mapping:
	// 100,000 fields take about 21 s.
	maxYAMLTokens = 40_000
)

// Default values of optional fields.
const (
	DefaultGoodputWeight    = 1.0
	DefaultRoleChangeWeight = 1.0
	DefaultQueue            = 64
	DefaultBodyKiB          = 1024
	DefaultConcurrent       = 256
)

// Parse strictly decodes a document, validates it and applies the default values. A non-nil error
// has type Errors.
func Parse(body []byte) (*Service, error) {
	s, _, err := ParseFile("", body)
	return s, err
}

// ParseFile is like Parse, but sets the file name in errors and also returns warnings: findings that
// do not make the document invalid. Warnings may be returned together with an error.
func ParseFile(file string, body []byte) (s *Service, warnings Errors, err error) {
	s, d, err := decode(body)
	if err == nil {
		v := &validator{errs: d.errs, positions: d.positions}
		v.validateService(s)
		warnings = v.warnings.sortAndTruncate()
		if len(v.errs) > 0 {
			err = v.errs.sortAndTruncate()
		}
	}
	for _, e := range append(AsErrors(err), warnings...) {
		e.File = file
	}
	if err != nil {
		return nil, warnings, err
	}
	s.applyDefaults()
	return s, warnings, nil
}

// decode fills a Service and returns it with the decoder, which holds the errors in individual fields
// and the positions of the fields. It returns an error only if the body exceeds the input limits or
// cannot be parsed as one YAML mapping.
func decode(body []byte) (s *Service, d *decoder, err error) {
	if err := checkInputLimits(body); err != nil {
		return nil, nil, Errors{err}
	}
	// Some versions of the parser panicked on malformed input. A document read from the key-value
	// service must not crash the process.
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
	root, rootErr := rootNode(f)
	if rootErr != nil {
		return nil, nil, Errors{rootErr}
	}
	s, d = &Service{}, &decoder{positions: map[string]position{}}
	d.decodeStruct(root, "", reflect.ValueOf(s).Elem())
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
		return nil, &Error{Line: p.line, Column: p.column, Found: describeNode(roots[0]), Allowed: "a mapping"}
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

// checkInputLimits rejects bodies that are unsafe to parse: too large, not text, or nested so deeply
// that the recursive parser could exhaust the stack.
func checkInputLimits(body []byte) *Error {
	if len(body) > MaxBytes {
		return &Error{Line: 1, Column: 1, Found: strconv.Itoa(len(body)) + " bytes", Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}
	}
	line, start := 1, 0
	for i, b := range body {
		switch {
		case b == '\n':
			line, start = line+1, i+1
		case b < ' ' && b != '\t' && b != '\r' || b == 0x7f:
			return &Error{Line: line, Column: i - start + 1, Found: fmt.Sprintf("control character 0x%02x", b), Allowed: "text without control characters other than tab and line breaks"}
		case i-start >= maxLineBytes:
			return &Error{Line: line, Column: 1, Found: "a line that is too long", Allowed: fmt.Sprintf("at most %d bytes in a line", maxLineBytes)}
		}
	}
	if !utf8.Valid(body) {
		return &Error{Line: 1, Column: 1, Found: "invalid UTF-8", Allowed: "UTF-8"}
	}
	tokens := lexer.Tokenize(string(body))
	if len(tokens) > maxYAMLTokens {
		return &Error{Line: 1, Column: 1, Found: fmt.Sprintf("%d tokens", len(tokens)), Allowed: fmt.Sprintf("at most %d tokens", maxYAMLTokens)}
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
			return &Error{Line: p.line, Column: p.column, Found: "nesting that is too deep", Allowed: fmt.Sprintf("at most %d levels", maxDepth)}
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

// FindKind returns the first kind that matches a request with the values in m, or nil. PathPrefix in m
// is the whole part of the request's path after /svc/<service>.
func (s *Service) FindKind(m Match) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Match.matches(m) {
			return &s.Kinds[i]
		}
	}
	return nil
}

// matches reports whether a request with the given values matches m.
func (m Match) matches(request Match) bool {
	return (m.Kind == "" || m.Kind == request.Kind) &&
		(m.Model == "" || m.Model == request.Model) &&
		(m.Method == "" || m.Method == request.Method) &&
		(m.PathPrefix == "" || len(request.PathPrefix) >= len(m.PathPrefix) && request.PathPrefix[:len(m.PathPrefix)] == m.PathPrefix)
}

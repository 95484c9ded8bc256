package document

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// position is the location of a field in the file, counted from 1.
type position struct{ line, column int }

// decoder fills a Service from a syntax tree. It collects all errors instead of stopping at the first
// one, and records the position of each field for the validator.
type decoder struct {
	errs      Errors
	positions map[string]position
}

func (d *decoder) addError(n ast.Node, field, found, allowed string) {
	p := nodePosition(n)
	d.errs = append(d.errs, &Error{Line: p.line, Column: p.column, Field: field, Found: found, Allowed: allowed})
}

// nodePosition returns the start of a node. For a block mapping this is its first key, because its
// own token is the first colon.
func nodePosition(n ast.Node) position {
	if entries, ok := mapEntries(n); ok && len(entries) > 0 {
		if m, ok := n.(*ast.MappingNode); !ok || !m.IsFlowStyle {
			return nodePosition(entries[0].Key)
		}
	}
	return tokenPosition(n.GetToken())
}

func tokenPosition(tk *token.Token) position {
	if tk == nil || tk.Position == nil {
		return position{1, 1}
	}
	return position{tk.Position.Line, tk.Position.Column}
}

// decodeValue decodes a node into v.
func (d *decoder) decodeValue(n ast.Node, field string, v reflect.Value) {
	if tag, ok := n.(*ast.TagNode); ok {
		d.addError(tag, field, "tag "+tag.GetToken().Value, "no tags")
		return
	}
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode:
		// Aliases could expand a small document to an arbitrary size.
		d.addError(n, field, "anchor or alias", "plain values only")
		return
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeDuration(n, field, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, field, v)
	case reflect.Slice:
		d.decodeSlice(n, field, v)
	default:
		d.decodeScalar(n, field, v)
	}
}

// decodeDuration decodes a Duration, the only type in a document that implements
// encoding.TextUnmarshaler.
func (d *decoder) decodeDuration(n ast.Node, field string, v reflect.Value) {
	const allowed = `a duration such as "730ms", "2s" or "5m"`
	s, ok := stringValue(n)
	if !ok {
		d.addError(n, field, describeNode(n), allowed)
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s)); err != nil {
		d.addError(n, field, strconv.Quote(s), allowed)
	}
}

func (d *decoder) decodeStruct(n ast.Node, field string, v reflect.Value) {
	entries, ok := mapEntries(n)
	if !ok {
		d.addError(n, field, describeNode(n), "a mapping")
		return
	}
	fields := yamlFieldNames(v.Type())
	seen := map[string]bool{}
	for _, e := range entries {
		name := keyName(e.Key)
		path := joinPath(field, name)
		d.positions[path] = nodePosition(e.Key)
		i := slices.Index(fields, name)
		switch {
		case i < 0:
			d.addError(e.Key, path, "unknown field "+strconv.Quote(name), strings.Join(fields, ", "))
		case seen[name]:
			d.addError(e.Key, path, "the field a second time", "each field once")
		default:
			seen[name] = true
			d.decodeValue(e.Value, path, v.Field(i))
		}
	}
}

func (d *decoder) decodeSlice(n ast.Node, field string, v reflect.Value) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addError(n, field, describeNode(n), "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, item := range seq.Values {
		path := fmt.Sprintf("%s[%d]", field, i)
		d.positions[path] = nodePosition(item)
		d.decodeValue(item, path, v.Index(i))
	}
}

func (d *decoder) decodeScalar(n ast.Node, field string, v reflect.Value) {
	allowed := ""
	switch v.Kind() {
	case reflect.String:
		if s, ok := stringValue(n); ok {
			v.SetString(s)
			return
		}
		allowed = "a string (quote numbers and words such as true)"
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		allowed = "true or false"
	case reflect.Int:
		if i, ok := intValue(n); ok {
			v.SetInt(i)
			return
		}
		allowed = "a whole number"
	case reflect.Float64:
		if f, ok := floatValue(n); ok {
			v.SetFloat(f)
			return
		}
		allowed = "a number"
	default:
		panic(fmt.Sprintf("document: field %s has unsupported type %s", field, v.Type()))
	}
	d.addError(n, field, describeNode(n), allowed)
}

func stringValue(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func intValue(n ast.Node) (int64, bool) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch v := i.Value.(type) {
	case int64:
		return v, true
	case uint64:
		// Larger values are rejected. The limits of all fields are far below.
		return int64(v), v <= 1<<62
	}
	return 0, false
}

func floatValue(n ast.Node) (float64, bool) {
	if f, ok := n.(*ast.FloatNode); ok {
		return f.Value, true
	}
	i, ok := intValue(n)
	return float64(i), ok
}

// mapEntries returns the entries of a mapping, for which the parser has two node types.
func mapEntries(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func keyName(k ast.MapKeyNode) string {
	if s, ok := k.(*ast.StringNode); ok {
		return s.Value
	}
	return k.String()
}

// maxQuotedBytes limits how much of an invalid value is quoted in an error.
const maxQuotedBytes = 64

func describeNode(n ast.Node) string {
	switch n := n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "no value"
	case *ast.StringNode:
		return "string " + strconv.Quote(truncate(n.Value))
	}
	return truncate(n.GetToken().Value)
}

func truncate(s string) string {
	if len(s) > maxQuotedBytes {
		return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
	}
	return s
}

func yamlFieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
	}
	return names
}

func joinPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

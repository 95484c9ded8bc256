package document_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/document"
)

const validDocument = `service: halte-llm
type: model
data_centres: [joburg-cbd, pta-east]
models:
  - {name: verdict, version: "1", weights_mib: 100}
pools:
  - {data_centre: joburg-cbd, workers: 2, roles: {prefill: 1, decode: 1}}
  - {data_centre: pta-east, workers: 1}
kinds:
  - name: arrival-verdict
    match: {kind: arrival-verdict}
    rank: 1
    deadlines: {first_token: 730ms, between_tokens: 71ms, total: 8s}
    repeatable: true
  - {name: chat, rank: 2, deadlines: {total: 60s}, repeatable: true, interruptible: true}
`

func exampleDocuments(t testing.TB) map[string][]byte {
	paths, err := filepath.Glob("../examples/*/*.yaml")
	require.NoError(t, err)
	require.Len(t, paths, 4)
	bodies := map[string][]byte{}
	for _, p := range paths {
		body, err := os.ReadFile(p)
		require.NoError(t, err)
		bodies[strings.TrimSuffix(filepath.Base(p), ".yaml")] = body
	}
	return bodies
}

// The example documents are valid, without warnings, and have the worker counts of the deployments.
func TestExamples(t *testing.T) {
	workers := map[string]int{"halte-llm": 11, "halte-api": 3, "oracolo": 9, "banco": 3}
	for name, body := range exampleDocuments(t) {
		s, warnings, err := document.ParseFile(name, body)
		require.NoError(t, err)
		require.Empty(t, warnings)
		require.Equal(t, name, s.Service)
		sum := 0
		for _, p := range s.Pools {
			sum += p.Workers
		}
		require.Equal(t, workers[name], sum, name)
	}
}

// Parse must copy every value from the file into the struct and apply the default values.
func TestParse(t *testing.T) {
	s, err := document.Parse([]byte(validDocument))
	require.NoError(t, err)
	require.Equal(t, document.Roles{Prefill: 1, Decode: 1}, s.Pools[0].Roles)
	require.Equal(t, document.Roles{Mixed: 1}, s.Pools[1].Roles, "default role")
	require.Equal(t, document.Deadlines{
		FirstToken: document.Duration(730 * time.Millisecond), BetweenTokens: document.Duration(71 * time.Millisecond),
		Total: document.Duration(8 * time.Second),
	}, s.Kinds[0].Deadlines)
	require.Equal(t, document.DefaultQueue, s.Limits.Queue)
	require.InDelta(t, document.DefaultGoodputWeight, s.Weights.Goodput, 0)
	require.Equal(t, "chat", s.FindKind(document.Match{Kind: "other"}).Name)
	require.NoError(t, s.Validate())
}

// Invalid documents must be rejected with the position, the value found and the values allowed. Each
// case makes one change to the valid document.
func TestFaults(t *testing.T) {
	_, kindsSection, _ := strings.Cut(validDocument, "kinds:\n")
	lastKind := "  - {name: chat, rank: 2, deadlines: {total: 60s}, repeatable: true, interruptible: true}"
	cases := []struct{ name, from, to, want string }{
		{"unknown field", "type: model", "type: model\ncolour: red", `f.yaml:3:1: colour: found unknown field "colour"; allowed service, type, data_centres, models, pools, kinds, weights, limits`},
		{"unknown nested field", "rank: 1\n", "rank: 1\n    ranks: 1\n", `f.yaml:13:5: kinds[0].ranks: found unknown field "ranks"; allowed name, match, rank, deadlines, repeatable, interruptible, starvable`},
		{"duplicate field", "type: model", "type: model\ntype: plain", `f.yaml:3:1: type: found the field a second time; allowed each field once`},
		{"string for number", "workers: 1", `workers: "1"`, `f.yaml:8:38: pools[1].workers: found string "1"; allowed a whole number`},
		{"fraction for number", "workers: 1", "workers: 1.5", `f.yaml:8:38: pools[1].workers: found 1.5; allowed a whole number`},
		{"number for string", `version: "1"`, "version: 1", `f.yaml:5:30: models[0].version: found 1; allowed a string (quote numbers and words such as true)`},
		{"string for bool", "repeatable: true\n", "repeatable: \"yes\"\n", `f.yaml:14:17: kinds[0].repeatable: found string "yes"; allowed true or false`},
		{"null", "rank: 1\n", "rank:\n", `f.yaml:12:10: kinds[0].rank: found no value; allowed a whole number`},
		{"mapping for list", "[joburg-cbd, pta-east]", "{a: b}", `f.yaml:3:15: data_centres: found a mapping; allowed a list`},
		{"list for mapping", "{kind: arrival-verdict}", "[a]", `f.yaml:11:12: kinds[0].match: found a list; allowed a mapping`},
		{"number for duration", "total: 8s", "total: 8", `f.yaml:13:66: kinds[0].deadlines.total: found 8; allowed a duration such as "730ms", "2s" or "5m"`},
		{"bad duration", "total: 8s", "total: 8sec", `f.yaml:13:66: kinds[0].deadlines.total: found "8sec"; allowed a duration such as "730ms", "2s" or "5m"`},
		{"alias", "type: model", "type: &a model", `f.yaml:2:7: type: found anchor or alias; allowed plain values only`},
		{"service name", "halte-llm", "Halte_LLM", `f.yaml:1:1: service: found "Halte_LLM"; allowed 1 to 63 of a-z, 0-9 and '-', with a letter or digit first and last`},
		{"type", "type: model", "type: engine", `f.yaml:2:1: type: found "engine"; allowed model or plain`},
		{"data centre twice", "[joburg-cbd, pta-east]", "[joburg-cbd, pta-east, pta-east]", `f.yaml:3:38: data_centres[2]: found "pta-east" a second time; allowed each value once`},
		{"unknown data centre", "data_centre: pta-east", "data_centre: midrand", `f.yaml:8:6: pools[1].data_centre: found "midrand"; allowed one of data_centres (joburg-cbd, pta-east)`},
		{"pool twice", "data_centre: pta-east", "data_centre: joburg-cbd", `f.yaml:8:6: pools[1].data_centre: found "joburg-cbd" a second time; allowed each value once`},
		{"unknown model in pool", "workers: 1", "workers: 1, models: [x]", `f.yaml:8:50: pools[1].models[0]: found "x"; allowed the name of one of models (verdict)`},
		{"unknown model in kind", "{kind: arrival-verdict}", "{model: x}", `f.yaml:11:13: kinds[0].match.model: found "x"; allowed the name of one of models`},
		{"role sum", "workers: 2", "workers: 3", `f.yaml:7:43: pools[0].roles: found a sum of 2; allowed a sum of 3, the number of workers`},
		{"negative role", "prefill: 1", "prefill: -1", `f.yaml:7:51: pools[0].roles.prefill: found -1; allowed 0 to 512`},
		{"no workers", "workers: 1", "workers: 0", `f.yaml:8:29: pools[1].workers: found 0; allowed 1 to 512`},
		{"rank", "rank: 1", "rank: 0", `f.yaml:12:5: kinds[0].rank: found 0; allowed 1 to 100`},
		{"no rank", "    rank: 1\n", "", `f.yaml:10:5: kinds[0].rank: found no value; allowed 1 to 100`},
		{"negative deadline", "total: 8s", "total: -8s", `f.yaml:13:59: kinds[0].deadlines.total: found -8s; allowed above 0s and at most 1h0m0s`},
		{"no total", "{total: 60s}", "{}", `f.yaml:15:27: kinds[1].deadlines.total: found no value; allowed above 0s and at most 1h0m0s`},
		{"first token after total", "first_token: 730ms", "first_token: 9s", `f.yaml:13:17: kinds[0].deadlines.first_token: found 9s; allowed above 0s and at most the total of 8s`},
		{"zero target", "between_tokens: 71ms", "between_tokens: 0s", `f.yaml:13:37: kinds[0].deadlines.between_tokens: found 0s; allowed above 0s and at most the total of 8s`},
		{"interruptible and unrepeatable", "repeatable: true, interruptible", "repeatable: false, interruptible", `f.yaml:15:71: kinds[1].interruptible: found true; allowed false if repeatable is false`},
		{"kind twice", "name: chat", "name: arrival-verdict", `f.yaml:15:6: kinds[1].name: found "arrival-verdict" a second time; allowed each value once`},
		{"path in model service", "{kind: arrival-verdict}", "{path_prefix: /a}", `f.yaml:11:13: kinds[0].match.path_prefix: found a value; allowed no value in a service of type "model"`},
		{"zero weight", lastKind, lastKind + "\nweights: {goodput: 0}", `f.yaml:16:11: weights.goodput: found 0; allowed 0.001 to 1000`},
		{"zero queue", lastKind, lastKind + "\nlimits: {queue: 0}", `f.yaml:16:10: limits.queue: found 0; allowed 1 to 65536`},
		{"infinite weight", lastKind, lastKind + "\nweights: {goodput: .inf}", `f.yaml:16:20: weights.goodput: found .inf; allowed a number`},
		{"burst without rate", lastKind, lastKind + "\nlimits: {per_caller: {burst: 3}}", `f.yaml:16:23: limits.per_caller.burst: found 3; allowed no value without requests_per_second`},
		{"no kinds", "kinds:\n" + kindsSection, "kinds: []\n", `f.yaml:9:1: kinds: found 0 items; allowed 1 to 64 items`},
		{"second document", lastKind, lastKind + "\n---\nservice: a", `f.yaml:17:1: document: found a second document; allowed one document in a file`},
		{"control character", "type: model", "type: \x01", `f.yaml:2:7: document: found control character 0x01; allowed text without control characters other than tab and line breaks`},
		{"syntax", "type: model", "type: [", ``},
		{"deep nesting", "type: model", "type: " + strings.Repeat("[", 17) + strings.Repeat("]", 17), `f.yaml:2:23: document: found nesting that is too deep; allowed at most 16 levels`},
		{"long line", "type: model", "type: " + strings.Repeat("- ", 600), `f.yaml:2:1: document: found a line that is too long; allowed at most 1024 bytes in a line`},
		{"size", "type: model", "type: model\n" + strings.Repeat("#\n", document.MaxBytes/2), `f.yaml:1:1: document: found 717310 bytes; allowed at most 716800 bytes`},
		{"many fields", "type: model", "type: model\n" + strings.Repeat("a: b\n", 14000), `f.yaml:1:1: document: found 42123 tokens; allowed at most 40000 tokens`},
		{"list", validDocument, "- a\n", `f.yaml:1:1: document: found a list; allowed a mapping`},
		{"empty", validDocument, "# nothing\n", `f.yaml:1:1: document: found an empty file; allowed one document`},
		{"UTF-8", "type: model", "type: \xff", `f.yaml:1:1: document: found invalid UTF-8; allowed UTF-8`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, validDocument, c.from)
			body := strings.Replace(validDocument, c.from, c.to, 1)
			_, _, err := document.ParseFile("f.yaml", []byte(body))
			require.Error(t, err)
			var e *document.Error
			require.ErrorAs(t, err, &e)
			require.Positive(t, e.Line)
			if c.want != "" {
				require.Contains(t, strings.Split(err.Error(), "\n"), c.want)
			}
		})
	}
}

// Parse must report all errors, not only the first one.
func TestAllFaultsAtOnce(t *testing.T) {
	body := strings.NewReplacer("workers: 1", "workers: x", "rank: 1", "rank: -1", "type: model", "type: m").Replace(validDocument)
	_, err := document.Parse([]byte(body))
	var lines []int
	for _, e := range document.AsErrors(err) {
		lines = append(lines, e.Line)
	}
	require.Equal(t, []int{2, 8, 12}, lines)
}

// Valid documents that are probably mistakes must produce a warning.
func TestWarnings(t *testing.T) {
	noCatchAll := strings.Replace(validDocument, "{name: chat,", "{name: chat, match: {kind: chat},", 1)
	shadowedKind := validDocument + "  - {name: late, match: {kind: late}, rank: 3, deadlines: {total: 1s}}\n"
	dataCentreWithoutPool := strings.Replace(validDocument, "pta-east]", "pta-east, midrand]", 1)
	for body, field := range map[string]string{noCatchAll: "kinds", shadowedKind: "kinds[2].match", dataCentreWithoutPool: "data_centres[2]"} {
		_, warnings, err := document.ParseFile("f", []byte(body))
		require.NoError(t, err)
		require.Len(t, warnings, 1)
		require.Equal(t, field, warnings[0].Field)
	}
}

// Fields that apply only to model services must be rejected in plain services.
func TestPlainService(t *testing.T) {
	body := string(exampleDocuments(t)["banco"])
	_, err := document.Parse([]byte(strings.Replace(body, "workers: 1", "workers: 1\n    roles: {mixed: 1}", 1)))
	require.ErrorContains(t, err, `pools[0].roles: found a value; allowed no value in a service of type "plain"`)
	_, err = document.Parse([]byte(strings.Replace(body, "total: 5s", "total: 5s, first_token: 1s", 1)))
	require.ErrorContains(t, err, "kinds[0].deadlines.first_token")
}

// Diff must show every change and be empty for equal documents.
func TestDiff(t *testing.T) {
	out, err := document.Diff("a", "b", []byte(validDocument), []byte(strings.Replace(validDocument, "rank: 1", "rank: 5", 1)))
	require.NoError(t, err)
	require.Contains(t, out, "--- a\n+++ b\n")
	require.Contains(t, out, "-    rank: 1\n+    rank: 5\n")
	out, err = document.Diff("a", "b", []byte(validDocument), []byte(validDocument))
	require.NoError(t, err)
	require.Empty(t, out)
}

// Parse must neither panic nor return an invalid document for any input, because documents come from
// a store that other versions of the program also write to.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	for _, body := range exampleDocuments(f) {
		f.Add(body)
	}
	for _, s := range []string{"", "a: *a", "? - a\n: b", "a: !!binary x", "<<: {a: b}", "- - - -", "%YAML 1.2\n---\na: b", "a: |\n  x", "\"\\u12\"", "a: [}"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := document.Parse(bytes.Clone(body))
		if err != nil {
			require.NotEmpty(t, document.AsErrors(err), "untyped error %v", err)
			return
		}
		require.NoError(t, s.Validate())
	})
}

// BenchmarkParse measures the cost of parsing a new document.
func BenchmarkParse(b *testing.B) {
	body := exampleDocuments(b)["halte-llm"]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := document.Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}

// The reference page must describe every field.
func TestReferenceDescribesEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/document.md")
	require.NoError(t, err)
	var visit func(prefix string, typ reflect.Type)
	visit = func(prefix string, typ reflect.Type) {
		for i := range typ.NumField() {
			f := typ.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
			path, ft := prefix+name, f.Type
			if ft.Kind() == reflect.Slice {
				path, ft = path+"[]", ft.Elem()
			}
			require.Contains(t, string(page), "| `"+path+"` |")
			if ft.Kind() == reflect.Struct {
				visit(path+".", ft)
			}
		}
	}
	visit("", reflect.TypeFor[document.Service]())
}

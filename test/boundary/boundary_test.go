// Package boundary checks that what the users' platform calls things stays in its adapter.
package boundary

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// adapterImport is the package that only the composition may import.
const adapterImport = "github.com/quetzallug/quetzallug/platform"

// wireNames are spelled so on the platform's wire and nowhere in the product.
var wireNames = []string{
	"Quetzallug-Attempt", "Quetzallug-Deadline", "Quetzallug-Token", "Quetzallug-Prefix", "Quetzallug-Expect", "Quetzallug-Request-P",
	"Quetzallug-Stage", "Quetzallug-Kv", "Quetzallug-Pin", "Quetzallug-Response", "Quetzallug-Not", "Quetzallug-Server", "Kv-Fetch",
	"/api/kv-", "/api/report", "/api/order", "op/config", "\"servers/", "path-prefix", "fencing-token", "kv-handle", "more-pages",
	"sticky-sessions", "traffic-split", "gap-aim-ms", "QUETZALLUG_CONFIG",
}

// allowed are the folders that may hold wire names: the adapter, and test equipment that speaks the wire.
var allowed = []string{"platform", "standin/site", "test"}

// composition may import the adapter.
var composition = []string{"cmd", "test", "platform"}

// Guards against names of the wire, and imports of the adapter, that spread into the product.
func TestWireNamesStayInTheAdapter(t *testing.T) {
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		require.NoError(t, err)
		if d.IsDir() && (strings.HasPrefix(d.Name(), ".") && rel != "." || rel == "gen" || rel == "target" || rel == "bin") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		check(t, path, filepath.ToSlash(rel))
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, files, 100)
}

func check(t *testing.T, path, rel string) {
	source, err := os.ReadFile(path)
	require.NoError(t, err)
	if !in(rel, allowed) {
		for _, name := range wireNames {
			if strings.Contains(string(source), name) {
				t.Errorf("%s holds the platform's name %q", rel, name)
			}
		}
	}
	if in(rel, composition) {
		return
	}
	f, err := parser.ParseFile(token.NewFileSet(), path, source, parser.ImportsOnly)
	require.NoError(t, err)
	for _, i := range f.Imports {
		if p, _ := strconv.Unquote(i.Path.Value); p == adapterImport {
			t.Errorf("%s imports the adapter", rel)
		}
	}
}

func in(rel string, folders []string) bool {
	for _, f := range folders {
		if strings.HasPrefix(rel, f+"/") {
			return true
		}
	}
	return false
}

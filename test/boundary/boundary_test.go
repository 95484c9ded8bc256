// Package boundary checks that product code uses the wire names of the platform, and imports its adapter,
// only where that is allowed.
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

// adapterImport is the import path of the adapter. Only the folders in mayImportAdapter may import it.
const adapterImport = "github.com/quetzallug/quetzallug/platform"

// wireNames are names of the platform's wire protocol, or distinctive parts of such names. The rest of the
// product must not contain them.
var wireNames = []string{
	"Quetzallug-Attempt", "Quetzallug-Deadline", "Quetzallug-Token", "Quetzallug-Prefix", "Quetzallug-Expect", "Quetzallug-Request-P",
	"Quetzallug-Stage", "Quetzallug-Kv", "Quetzallug-Pin", "Quetzallug-Response", "Quetzallug-Not", "Quetzallug-Server", "Kv-Fetch",
	"/api/kv-", "/api/report", "/api/order", "op/config", "\"servers/", "path-prefix", "fencing-token", "kv-handle", "more-pages",
	"sticky-sessions", "traffic-split", "gap-aim-ms", "QUETZALLUG_CONFIG",
}

// mayUseWireNames lists the folders that may contain wire names: the adapter, and test code that implements
// the wire protocol.
var mayUseWireNames = []string{"platform", "standin/site", "test"}

// mayImportAdapter lists the folders that may import the adapter: those that assemble the program, the
// tests, and the adapter itself.
var mayImportAdapter = []string{"cmd", "test", "platform"}

// Guards against wire names, and imports of the adapter, in the rest of the product.
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
		checkFile(t, path, filepath.ToSlash(rel))
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, files, 100, "too few source files found; is the root wrong?")
}

func checkFile(t *testing.T, path, rel string) {
	source, err := os.ReadFile(path)
	require.NoError(t, err)
	if !inAnyFolder(rel, mayUseWireNames) {
		for _, name := range wireNames {
			if strings.Contains(string(source), name) {
				t.Errorf("%s contains the wire name %q of the platform", rel, name)
			}
		}
	}
	if inAnyFolder(rel, mayImportAdapter) {
		return
	}
	f, err := parser.ParseFile(token.NewFileSet(), path, source, parser.ImportsOnly)
	require.NoError(t, err)
	for _, spec := range f.Imports {
		if p, _ := strconv.Unquote(spec.Path.Value); p == adapterImport {
			t.Errorf("%s imports the adapter", rel)
		}
	}
}

func inAnyFolder(rel string, folders []string) bool {
	for _, f := range folders {
		if strings.HasPrefix(rel, f+"/") {
			return true
		}
	}
	return false
}

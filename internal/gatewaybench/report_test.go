package gatewaybench

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against results of an earlier version that are lost or labelled as those of this version, and against
// invalid options that are accepted.
func TestResultsOfTwoVersions(t *testing.T) {
	d, _ := load(t, "board", "calm")
	day := &Day{Name: "short", Length: Duration(2 * time.Second)}
	rows, err := Compare(t.Context(), d, []*Day{day}, []string{PolicyGateway, PolicyRoundRobin}, 2, 2)
	require.NoError(t, err)
	require.Len(t, rows, 2)
	require.Positive(t, rows[0].Worth)
	dir := t.TempDir()
	require.NoError(t, WriteData(dir, rows))
	require.FileExists(t, filepath.Join(dir, "mix-board.png"))

	previous, err := ReadRows(filepath.Join(dir, "mix-board.json"))
	require.NoError(t, err)
	require.Len(t, previous, 1)
	merged := Merge(rows, previous)
	require.Len(t, merged, 3)
	require.Equal(t, PolicyPrevious, merged[1].Policy)
	require.InDelta(t, rows[0].Worth, merged[1].Worth, 1e-9)
	var out bytes.Buffer
	require.NoError(t, WriteTable(&out, merged))
	require.Contains(t, out.String(), PolicyPrevious)
	require.Contains(t, out.String(), "chat")

	_, err = Compare(t.Context(), d, []*Day{day}, []string{"best"}, 1, 1)
	require.ErrorContains(t, err, "best")
	_, err = Compare(t.Context(), d, []*Day{day}, []string{PolicyRoundRobin}, 0, 1)
	require.ErrorContains(t, err, "seeds")
	bad := filepath.Join(dir, "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte("[]"), 0o600))
	_, err = ReadRows(bad)
	require.ErrorContains(t, err, PolicyGateway)
}

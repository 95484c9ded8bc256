package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that the end of a process cut being taken for whole, and whole ones of backend servers that
// leave or close idle connections being taken for cut.
func TestEndsOfBodiesWithoutALength(t *testing.T) {
	for name, tc := range map[string]struct {
		e   endEvidence
		cut bool
	}{
		"only its connection ended":            {e: endEvidence{witnessed: true}},
		"all connections ended":                {e: endEvidence{witnessed: true, lost: true}, cut: true},
		"restarted at once":                    {e: endEvidence{witnessed: true, lost: true, refuses: false}, cut: true},
		"leaving, and ended with its last run": {e: endEvidence{leaving: true, witnessed: true, lost: true}},
		"leaving, listener closed":             {e: endEvidence{leaving: true, refuses: true}},
		"not leaving, listener closed":         {e: endEvidence{refuses: true}, cut: true},
		"nothing known":                        {},
	} {
		require.Equal(t, tc.cut, tc.e.isCut(), name)
	}
}

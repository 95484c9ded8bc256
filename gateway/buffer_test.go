package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against bodies without end that together use up the memory of the process, and against a budget
// that is not given back.
func TestBufferedResponsesAreBounded(t *testing.T) {
	var b bufferBudget
	text := strings.Repeat("x", 100_000)
	body, release, err := b.readAll(strings.NewReader(text), maxResponseBody)
	require.NoError(t, err)
	require.Equal(t, text, string(body))
	release()
	require.Zero(t, b.used.Load())

	const size = 12 << 20
	var releases []func()
	whole := 0
	for range 5 {
		_, release, err := b.readAll(io.LimitReader(endless{}, size), maxResponseBody)
		releases = append(releases, release)
		if err != nil {
			require.ErrorIs(t, err, errResponseTooLarge)
			continue
		}
		whole++
	}
	require.LessOrEqual(t, whole, maxBufferedBytes/size)
	_, last, err := b.readAll(endless{}, maxResponseBody)
	require.ErrorIs(t, err, errResponseTooLarge)
	last()
	for _, f := range releases {
		f()
	}
	require.Zero(t, b.used.Load())

	broken := errors.New("connection reset")
	_, release, err = b.readAll(io.MultiReader(strings.NewReader("half"), errReader{broken}), maxResponseBody)
	require.ErrorIs(t, err, broken, "half a body is no whole one")
	release()
	require.Zero(t, b.used.Load())
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

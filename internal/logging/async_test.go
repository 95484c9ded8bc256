package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that blocks because nobody reads the log.
func TestAsyncNeverBlocksOnAFullPipe(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsync(w)
	const lines = 3 * maxQueuedLines
	for range lines {
		_, err := a.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Positive(t, a.Dropped())
	received := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		received <- string(b)
	}()
	require.NoError(t, a.Close())
	require.NoError(t, w.Close())
	text := <-received
	require.Contains(t, text, "log lines left out")
	require.EqualValues(t, lines, int64(strings.Count(text, "line\n"))+a.Dropped())
}

// Guards against lines that are lost when the process stops.
func TestAsyncWritesAllLinesAtClose(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	for range 100 {
		_, _ = a.Write([]byte("line\n"))
	}
	require.NoError(t, a.Close())
	require.Equal(t, 100, strings.Count(out.String(), "line\n"))
}

package gateway

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

// Guards against a body that ends inside an event being taken for a whole stream, and whole ones for broken ones.
func TestEndsOfStreams(t *testing.T) {
	for _, tc := range []struct {
		name, contentType, tail string
		length                  int64
		chunked, anyEvent       bool
		want                    error
	}{
		{name: "between events, connection", length: -1, anyEvent: true},
		{name: "between events, chunks", length: -1, chunked: true, anyEvent: true},
		{name: "no event, connection", length: -1, want: errNoEvent},
		{name: "no event, chunks", length: -1, chunked: true},
		{name: "no event, length", length: 0},
		{name: "half a line", tail: "dat", length: -1, anyEvent: true, want: errEventCut},
		{name: "half a line, length", tail: "dat", length: 90, anyEvent: true, want: errEventCut},
		{name: "half a line, chunks", tail: "dat", length: -1, chunked: true, anyEvent: true, want: errEventCut},
		{name: "no blank line", tail: "id: 4\ndata: x\n", length: -1, anyEvent: true, want: errEventCut},
		{name: "version line only", tail: "weights: 3\r\n", length: -1, anyEvent: true, want: errEventCut},
		{name: "blank lines", tail: "\r\n\n", length: -1, anyEvent: true},
		{name: "comment", tail: ": still here\n", length: -1, anyEvent: true},
		{name: "half a comment", tail: ": still", length: -1, anyEvent: true, want: errEventCut},
		{name: "comments only, connection", tail: ": still here\n", length: -1, want: errNoEvent},
		{name: "another type", contentType: "application/json; charset=utf-8", tail: "{}", length: 2},
		{name: "events by type", contentType: "text/event-stream; charset=utf-8", tail: "{}", length: 2, want: errEventCut},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp := &upstream.Response{Response: &http.Response{ContentLength: tc.length, Header: http.Header{}}}
			if tc.chunked {
				resp.TransferEncoding = []string{"chunked"}
			}
			if tc.contentType != "" {
				resp.Header.Set("Content-Type", tc.contentType)
			}
			end := bodyEnd{framing: resp.Framing(), events: isEventStream(resp.Header), anyEvent: tc.anyEvent, tail: []byte(tc.tail), lives: true}
			require.Equal(t, tc.want, end.check())
		})
	}
}

// repeated is an endless body that repeats a text.
type repeated struct {
	text string
	read int
}

func (r *repeated) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(b)
	return len(b), nil
}

// Guards against an event without end, which would fill the memory of the process.
func TestEndlessEventsAreBounded(t *testing.T) {
	for name, text := range map[string]string{"line": "x", "lines": "data: x\n", "comments": ": x\n"} {
		t.Run(name, func(t *testing.T) {
			body := &repeated{text: text}
			reader := &eventReader{br: bufio.NewReaderSize(io.MultiReader(body), streamBufferSize)}
			_, _, err := reader.next()
			require.ErrorIs(t, err, errEventTooLarge)
			require.LessOrEqual(t, body.read, maxEventSize+2*streamBufferSize)
			require.LessOrEqual(t, cap(reader.buf), 4*maxEventSize)
		})
	}
}

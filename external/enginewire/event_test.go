package enginewire_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
)

// encoding/json and DecodeEvent must decode an event of AppendEvent to the original chunk, also if its text
// needs escapes.
func TestAppendEventRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := external.TokenChunk{
			Offset: rapid.IntMin(0).Draw(t, "offset"), Tokens: rapid.IntRange(0, 50).Draw(t, "tokens"),
			Text: rapid.String().Draw(t, "text"), FinishReason: rapid.SampledFrom([]string{"", "stop", "a\"b"}).Draw(t, "reason"),
		}
		line := enginewire.AppendEvent(nil, &c)
		require.Equal(t, 2, bytes.Count(line, []byte("\n")), "a line break in the JSON would split the event")
		data := strings.TrimSuffix(strings.TrimPrefix(string(line), enginewire.DataPrefix), "\n\n")
		var want enginewire.Event
		require.NoError(t, json.Unmarshal([]byte(data), &want))
		require.Equal(t, c, want.TokenChunk)
		got, err := enginewire.DecodeEvent([]byte(data))
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// DecodeEvent must accept the same events as encoding/json and decode them to the same values, although
// it does not use encoding/json for most events.
func FuzzDecodeEvent(f *testing.F) {
	for _, s := range []string{
		`{"offset":0,"tokens":1,"text":" t6f4"}`, `{"offset":4,"tokens":1,"text":"","finish_reason":"length"}`,
		`{"offset":01,"tokens":1,"text":"a"}`, `{"offset":99999999999999999999,"tokens":1,"text":"a"}`,
		`{"offset":1,"tokens":1,"text":"a\u0041"}`, `{"offset":1,"tokens":1,"text":"a","finish_reason":null}`,
		`{"error":"failed"}`, `{"offset":1,"tokens":1,"text":"a"`, `{"offset":1,"tokens":1,"text":"a"}}`,
		`{"offset":1,"tokens":1,"text":"a","finish_reason":"x"`, `{"offset":-1,"tokens":,"text":"a"}`, "",
		"{\"offset\":1,\"tokens\":1,\"text\":\"\xff\"}", "{\"offset\":1,\"tokens\":1,\"text\":\"\x01\"}",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var want enginewire.Event
		wantErr := json.Unmarshal(data, &want)
		got, err := enginewire.DecodeEvent(data)
		require.Equal(t, wantErr == nil, err == nil)
		if err == nil {
			require.Equal(t, want, got)
		}
	})
}

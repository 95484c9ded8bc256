package entry

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
)

// appendJSONString must produce the same output as encoding/json for any text, or callers receive
// invalid JSON or changed text.
func TestAppendJSONString(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(
			rapid.String(), rapid.StringMatching(`[ -~]{0,20}`), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }),
		).Draw(t, "text")
		want, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		if got := appendJSONString([]byte("x"), []byte(text)); string(got) != "x"+string(want) {
			t.Fatalf("got %s, want %s", got[1:], want)
		}
	})
}

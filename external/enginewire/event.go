package enginewire

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/quetzallug/quetzallug/external"
)

// Event is one event of a generation: a chunk, or the code of the error that ends the stream.
type Event struct {
	external.TokenChunk
	Error string `json:"error,omitempty"`
}

// AppendEvent appends the "data: {json}" line of a chunk and the blank line that ends the event.
// It allocates only for a text or finish reason that needs escapes.
func AppendEvent(b []byte, c *external.TokenChunk) []byte {
	b = append(b, DataPrefix...)
	b = append(b, `{"offset":`...)
	b = strconv.AppendInt(b, int64(c.Offset), 10)
	b = append(b, `,"tokens":`...)
	b = strconv.AppendInt(b, int64(c.Tokens), 10)
	b = append(b, `,"text":`...)
	b = appendString(b, c.Text)
	if c.FinishReason != "" {
		b = append(b, `,"finish_reason":`...)
		b = appendString(b, c.FinishReason)
	}
	return append(b, "}\n\n"...)
}

func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if !plain(s[i]) {
			quoted, _ := json.Marshal(s) // cannot fail for a string
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// plain reports whether a byte of a JSON string stands for itself.
func plain(c byte) bool { return c >= ' ' && c < utf8.RuneSelf && c != '"' && c != '\\' }

// DecodeEvent decodes the JSON of one event. Events in the form that AppendEvent writes cost one
// allocation, the text; encoding/json, which decodes all others, needs seven.
func DecodeEvent(data []byte) (Event, error) {
	var c external.TokenChunk
	if decodePlain(data, &c) {
		return Event{TokenChunk: c}, nil
	}
	return decodeAny(data)
}

// decodeAny is apart because its event escapes to the heap.
func decodeAny(data []byte) (ev Event, err error) {
	err = json.Unmarshal(data, &ev)
	return ev, err
}

func decodePlain(data []byte, c *external.TokenChunk) (ok bool) {
	if c.Offset, data, ok = cutInt(data, `{"offset":`); !ok {
		return false
	}
	if c.Tokens, data, ok = cutInt(data, `,"tokens":`); !ok {
		return false
	}
	var text, reason []byte
	if text, data, ok = cutString(data, `,"text":"`); !ok {
		return false
	}
	if reason, data, ok = cutString(data, `,"finish_reason":"`); ok {
		c.FinishReason = string(reason)
	}
	c.Text = string(text)
	return string(data) == "}"
}

// maxDigits keeps a number below the overflow of an int64.
const maxDigits = 18

func cutInt(data []byte, name string) (n int, rest []byte, ok bool) {
	if len(data) < len(name) || string(data[:len(name)]) != name {
		return 0, data, false
	}
	data = data[len(name):]
	i := 0
	for ; i < len(data) && data[i] >= '0' && data[i] <= '9'; i++ {
		n = n*10 + int(data[i]-'0')
	}
	// JSON allows no leading zero.
	return n, data[i:], i > 0 && i <= maxDigits && (i == 1 || data[0] != '0')
}

func cutString(data []byte, name string) (s, rest []byte, ok bool) {
	if len(data) < len(name) || string(data[:len(name)]) != name {
		return nil, data, false
	}
	data = data[len(name):]
	end := bytes.IndexByte(data, '"')
	if end < 0 {
		return nil, data, false
	}
	for _, c := range data[:end] {
		if !plain(c) {
			return nil, data, false
		}
	}
	return data[:end], data[end+1:], true
}

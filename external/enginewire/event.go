package enginewire

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/quetzallug/quetzallug/external"
)

// Event is an event of a generation: a chunk, or the code of the error that ends the stream.
type Event struct {
	external.TokenChunk
	Error string `json:"error,omitempty"`
}

// AppendEvent appends the "data: {json}" line of a chunk and the blank line that ends the event.
// Apart from growing b, it allocates only if the text or finish reason must be escaped.
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

// appendString appends a JSON string.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if !isUnescaped(s[i]) {
			quoted, _ := json.Marshal(s) // marshalling a string cannot fail
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// isUnescaped reports whether a byte represents itself in a JSON string. Non-ASCII bytes are excluded,
// because they may be invalid UTF-8.
func isUnescaped(c byte) bool { return c >= ' ' && c < utf8.RuneSelf && c != '"' && c != '\\' }

// DecodeEvent decodes the JSON of an event. An event that AppendEvent wrote without escapes is decoded
// without encoding/json: it needs one allocation for the text and one for a finish reason, where
// encoding/json needs about seven.
func DecodeEvent(data []byte) (Event, error) {
	var c external.TokenChunk
	if decodeFast(data, &c) {
		return Event{TokenChunk: c}, nil
	}
	return decodeJSON(data)
}

// decodeJSON decodes an event with encoding/json. It is a separate function because ev escapes to the
// heap, which would cost DecodeEvent an allocation for every event.
func decodeJSON(data []byte) (ev Event, err error) {
	err = json.Unmarshal(data, &ev)
	return ev, err
}

// decodeFast decodes an event in the form that AppendEvent writes without escapes. It returns false if
// the event has another form; c may then be partly set.
func decodeFast(data []byte, c *external.TokenChunk) (ok bool) {
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

// maxDigits is the maximum number of decimal digits that cannot overflow an int64.
const maxDigits = 18

// cutInt removes prefix and the non-negative integer after it from data, and returns the integer and the
// rest. ok is false if data has another form.
func cutInt(data []byte, prefix string) (n int, rest []byte, ok bool) {
	if len(data) < len(prefix) || string(data[:len(prefix)]) != prefix {
		return 0, data, false
	}
	data = data[len(prefix):]
	i := 0
	for ; i < len(data) && data[i] >= '0' && data[i] <= '9'; i++ {
		n = n*10 + int(data[i]-'0')
	}
	// JSON does not allow leading zeros.
	return n, data[i:], i > 0 && i <= maxDigits && (i == 1 || data[0] != '0')
}

// cutString removes prefix, which ends with an opening quote, and the string after it from data, and
// returns the string and the rest. If data does not start with prefix, ok is false and rest is data, so
// that decodeFast can continue without the optional finish reason. If the string has escapes or no end,
// ok is false and rest is data without prefix.
func cutString(data []byte, prefix string) (s, rest []byte, ok bool) {
	if len(data) < len(prefix) || string(data[:len(prefix)]) != prefix {
		return nil, data, false
	}
	data = data[len(prefix):]
	end := bytes.IndexByte(data, '"')
	if end < 0 {
		return nil, data, false
	}
	for _, c := range data[:end] {
		if !isUnescaped(c) {
			return nil, data, false
		}
	}
	return data[:end], data[end+1:], true
}

package logging

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
)

// jsonFormatter writes lines that decode to the same JSON as those of logrus.JSONFormatter, except that a
// value that cannot be encoded is replaced by the error. Fields are in no fixed order. It avoids reflection for common types, because a gateway writes a line for each request.
type jsonFormatter struct{}

// Format implements logrus.Formatter.
func (jsonFormatter) Format(e *logrus.Entry) ([]byte, error) {
	b := e.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	b.WriteString(`{"time":"`)
	b.Write(e.Time.AppendFormat(b.AvailableBuffer(), timestampFormat))
	b.WriteString(`","level":"`)
	b.WriteString(e.Level.String())
	b.WriteString(`","msg":`)
	writeString(b, e.Message)
	for name, v := range e.Data {
		b.WriteByte(',')
		writeString(b, fieldName(name))
		b.WriteByte(':')
		writeValue(b, v)
	}
	b.WriteString("}\n")
	return b.Bytes(), nil
}

// fieldName renames fields that would conflict with the standard fields of a line, as logrus does.
func fieldName(name string) string {
	switch name {
	case "time", "level", "msg":
		return "fields." + name
	}
	return name
}

func writeValue(b *bytes.Buffer, v any) {
	switch v := v.(type) {
	case string:
		writeString(b, v)
	case int:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(v), 10))
	case int64:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), v, 10))
	case uint64:
		b.Write(strconv.AppendUint(b.AvailableBuffer(), v, 10))
	case bool:
		b.Write(strconv.AppendBool(b.AvailableBuffer(), v))
	case error:
		writeString(b, v.Error())
	case []string:
		b.WriteByte('[')
		for i, text := range v[:min(len(v), maxListed)] {
			if i > 0 {
				b.WriteByte(',')
			}
			writeString(b, text)
		}
		b.WriteByte(']')
	default:
		text, err := json.Marshal(v)
		if err != nil {
			writeString(b, "not encodable: "+err.Error())
			return
		}
		b.Write(text)
	}
}

// maxTextBytes limits one text of a line. Longer ones come from outside the process: IDs of callers, and entries of
// the store that an error message quotes, have up to 1 MiB.
const maxTextBytes = 1 << 10

// maxListed limits the elements of a list in a line.
const maxListed = 64

func writeString(b *bytes.Buffer, s string) {
	if left := len(s) - maxTextBytes; left > 0 {
		s = strings.ToValidUTF8(s[:maxTextBytes], "") + "... (" + strconv.Itoa(left) + " bytes left out)"
	}
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			text, _ := json.Marshal(s) // a string is always encodable
			b.Write(text)
			return
		}
	}
	b.WriteByte('"')
	b.WriteString(s)
	b.WriteByte('"')
}

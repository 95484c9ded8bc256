package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

var fields = logrus.Fields{
	"request": "762b837159c4925d", "route": "r", "service": "s", "config": uint64(6), "outcome": "answered", "elapsed_ms": int64(12),
	"first_ms": int64(10), "sends": 0, "runs": 0, "expected_ms": int64(9), "unread": 3000, "choice": "read_elsewhere", "considered": 11,
	"server": "i-ceabf85594", "reader": "i-e71990380f", "events": 2, "instance": "edge-1",
}

// Guards against lines that differ from those of logrus.JSONFormatter.
func TestJSONEqualsTheLibrarys(t *testing.T) {
	for _, extra := range []logrus.Fields{
		{}, {"quote": `a"b\c`, "control": "a\nb", "umlaut": "ü", "bad": "\xff"}, {"error": errors.New("x"), "bool": true, "list": []string{"a"}, "nil": nil, "float": 1.5, "msg": "own", "time": 3},
	} {
		all := logrus.Fields{}
		for _, m := range []logrus.Fields{fields, extra} {
			for k, v := range m {
				all[k] = v
			}
		}
		e := logrus.NewEntry(logrus.New()).WithFields(all)
		e.Time, e.Level, e.Message = time.Unix(1, 5e6).UTC(), logrus.InfoLevel, "request \"x\""
		got, err := jsonFormatter{}.Format(e)
		require.NoError(t, err)
		want, err := (&logrus.JSONFormatter{TimestampFormat: timestampFormat}).Format(e)
		require.NoError(t, err)
		require.JSONEq(t, string(want), string(got))
		require.Equal(t, 1, bytes.Count(got, []byte("\n")))
	}
}

// Guards against lines as long as what callers send or other programs write to the store.
func TestTextsFromOutsideAreShortened(t *testing.T) {
	long := strings.Repeat("ü", 1<<19)
	e := logrus.NewEntry(logrus.New()).WithFields(logrus.Fields{"a": long, "b": errors.New(long), "c": slices.Repeat([]string{long}, 1000)})
	line, err := jsonFormatter{}.Format(e)
	require.NoError(t, err)
	require.Less(t, len(line), 2*(2+maxListed)*maxTextBytes)
	var decoded map[string]any
	require.NoError(t, json.Unmarshal(line, &decoded))
	require.Contains(t, decoded["a"], "bytes left out")
	require.Len(t, decoded["c"], maxListed)
}

func BenchmarkLine(b *testing.B) {
	for name, f := range map[string]logrus.Formatter{"own": jsonFormatter{}, "library": &logrus.JSONFormatter{TimestampFormat: timestampFormat}} {
		b.Run(name, func(b *testing.B) {
			l := logrus.New()
			l.SetOutput(io.Discard)
			l.SetFormatter(f)
			e := l.WithField("instance", "edge-1")
			b.ReportAllocs()
			for b.Loop() {
				e.WithFields(fields).Info("request")
			}
		})
	}
}

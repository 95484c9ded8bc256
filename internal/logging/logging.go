// Package logging creates loggers.
package logging

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// timestampFormat includes milliseconds, because the time until a document is in force in all processes
// is measured from their log lines.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines of at least the given level to w, in the given format.
func New(w io.Writer, level, format string) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(l)
	switch format {
	case FormatText:
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: timestampFormat})
	case FormatJSON:
		log.SetFormatter(jsonFormatter{})
	default:
		return nil, fmt.Errorf("log format: found %q, allowed are %q and %q", format, FormatText, FormatJSON)
	}
	return log, nil
}

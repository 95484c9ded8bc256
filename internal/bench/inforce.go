package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"time"
)

var (
	errNotInForce = errors.New("not in force within the time limit")
	inForceLine   = regexp.MustCompile(`^time="([^"]+)".*msg="document in force".* revision=(\d+)`)
)

const (
	// inForceTimeout bounds the wait for a document. Entries and sidecars have to apply it within 8 s.
	inForceTimeout      = 30 * time.Second
	inForcePollInterval = 50 * time.Millisecond
)

// logReader reads from the log of one process which revisions of the document came into force.
type logReader struct {
	path   string
	offset int64
	// inForceAt holds the time at which each revision came into force.
	inForceAt map[uint64]time.Time
}

// read parses the lines that were added since the last read.
func (r *logReader) read() error {
	f, err := os.Open(r.path)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Seek(r.offset, io.SeekStart); err != nil {
		return err
	}
	lines := bufio.NewReader(f)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil // an incomplete line is read again next time
		}
		if err != nil {
			return err
		}
		r.offset += int64(len(line))
		if err := r.parseLine(line); err != nil {
			return err
		}
	}
}

func (r *logReader) parseLine(line string) error {
	m := inForceLine.FindStringSubmatch(line)
	if m == nil {
		return nil
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", m[1])
	if err != nil {
		return fmt.Errorf("%s: %w", r.path, err)
	}
	revision, err := strconv.ParseUint(m[2], 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", r.path, err)
	}
	r.inForceAt[revision] = at
	return nil
}

// firstInForce returns the first time, not before from, at which the revision or a later one came
// into force.
func (r *logReader) firstInForce(from time.Time, revision uint64) (time.Time, bool) {
	var first time.Time
	for v, at := range r.inForceAt {
		if v >= revision && !at.Before(from) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// waitInForce waits until a revision, or a later one, has come into force in each process and
// returns the delays since from, in the order of the readers. from is truncated because log times
// have a resolution of milliseconds.
func waitInForce(ctx context.Context, readers []*logReader, from time.Time, revision uint64) ([]time.Duration, error) {
	from = from.Truncate(time.Millisecond)
	delays := make([]time.Duration, len(readers))
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for i := 0; i < len(readers); {
		if err := readers[i].read(); err != nil {
			return nil, err
		}
		if at, ok := readers[i].firstInForce(from, revision); ok {
			delays[i] = at.Sub(from)
			i++
			continue
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%s: revision %d: %w", readers[i].path, revision, errNotInForce)
		case <-time.After(inForcePollInterval):
		}
	}
	return delays, nil
}

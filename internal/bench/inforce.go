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
	errNotInForce = errors.New("document is not in force everywhere within the bound")
	inForceLine   = regexp.MustCompile(`^time="([^"]+)".*msg="document in force".* revision=(\d+)`)
)

const (
	// inForceBound ends the wait for a document; the product's own bound is 8 s.
	inForceBound = 30 * time.Second
	inForceTick  = 50 * time.Millisecond
)

// logReader finds the documents in force in the log of one process.
type logReader struct {
	path   string
	offset int64
	// at is the time at which the revision came into force.
	at map[uint64]time.Time
}

// read takes the lines that were added since the last read.
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
			return nil // a part of a line is read again
		}
		if err != nil {
			return err
		}
		r.offset += int64(len(line))
		if err := r.take(line); err != nil {
			return err
		}
	}
}

func (r *logReader) take(line string) error {
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
	r.at[revision] = at
	return nil
}

// since returns the first time at or after from at which the revision or a later one came into
// force.
func (r *logReader) since(from time.Time, revision uint64) (time.Time, bool) {
	var first time.Time
	for v, at := range r.at {
		if v >= revision && !at.Before(from) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// waitInForce waits until a revision has come into force in each process and returns the delays
// since a time, in the order of the readers. Log times are cut to milliseconds.
func waitInForce(ctx context.Context, readers []*logReader, from time.Time, revision uint64) ([]time.Duration, error) {
	from = from.Truncate(time.Millisecond)
	delays := make([]time.Duration, len(readers))
	ctx, cancel := context.WithTimeout(ctx, inForceBound)
	defer cancel()
	for i := 0; i < len(readers); {
		if err := readers[i].read(); err != nil {
			return nil, err
		}
		if at, ok := readers[i].since(from, revision); ok {
			delays[i] = at.Sub(from)
			i++
			continue
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%s: revision %d: %w", readers[i].path, revision, errNotInForce)
		case <-time.After(inForceTick):
		}
	}
	return delays, nil
}

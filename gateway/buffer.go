package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

var errResponseTooLarge = errors.New("response too large")

// bufferBudget bounds the bytes of all responses that are buffered at the same time. Backend servers that
// send without end would otherwise use up the memory of the process with a few requests.
type bufferBudget struct{ used atomic.Int64 }

// bufferStep is the least number of bytes by which a buffer grows.
const bufferStep = 16 << 10

// readAll reads a whole response of at most limit bytes. release must be called once the bytes are no
// longer needed.
func (b *bufferBudget) readAll(r io.Reader, limit int) (body []byte, release func(), err error) {
	charged := int64(0)
	release = func() { b.used.Add(-charged) }
	buf := make([]byte, 0, 512)
	for {
		if len(buf) == cap(buf) {
			grow := int64(max(bufferStep, cap(buf)))
			charged += grow
			if b.used.Add(grow) > maxBufferedBytes {
				return nil, release, errResponseTooLarge
			}
			buf = append(make([]byte, 0, cap(buf)+int(grow)), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > limit:
			return nil, release, errResponseTooLarge
		case errors.Is(err, io.EOF):
			return buf, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}

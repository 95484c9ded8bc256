package app

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/internal/connlimit"
	"github.com/quetzallug/quetzallug/internal/telemetry"
)

const (
	// closedLogInterval is the shortest time between two log lines about connections that were closed because of a
	// limit, by listener and cause.
	closedLogInterval = time.Second
	// maxClosedAddresses limits the addresses that are counted between two lines.
	maxClosedAddresses = 64
)

// closedLog logs and counts the connections that are closed because of a limit. Many clients at once cause thousands a
// second, so a line tells how many there were since the last one, and the address that most of them came from.
type closedLog struct {
	log     logrus.FieldLogger
	metrics *telemetry.Gateway

	mu     sync.Mutex
	counts map[closedKey]*closedCount
}

type closedKey struct {
	listener string
	cause    connlimit.Cause
}

type closedCount struct {
	loggedAt  time.Time
	total     int
	addresses map[string]int
}

func newClosedLog(log logrus.FieldLogger, m *telemetry.Gateway) *closedLog {
	return &closedLog{log: log, metrics: m, counts: make(map[closedKey]*closedCount)}
}

// record counts one connection. It logs the first one of a listener and cause at once.
func (l *closedLog) record(listener string, cause connlimit.Cause, from net.Addr, now time.Time) {
	l.metrics.DroppedConnection(listener, string(cause))
	address, _, err := net.SplitHostPort(from.String())
	if err != nil {
		address = from.String()
	}
	l.mu.Lock()
	key := closedKey{listener, cause}
	c := l.counts[key]
	if c == nil {
		c = &closedCount{addresses: make(map[string]int)}
		l.counts[key] = c
	}
	c.total++
	if _, known := c.addresses[address]; known || len(c.addresses) < maxClosedAddresses {
		c.addresses[address]++
	}
	if now.Sub(c.loggedAt) < closedLogInterval {
		l.mu.Unlock()
		return
	}
	largest, most := "", 0
	for a, n := range c.addresses {
		if n > most {
			largest, most = a, n
		}
	}
	total := c.total
	c.loggedAt, c.total = now, 0
	clear(c.addresses)
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{"listener": listener, "cause": string(cause), "closed": total, "caller": largest, "closed_of_caller": most}).
		Info("connections closed because of a limit")
}

package quarantine

import (
	"maps"
	"time"
)

// maxMoments limits the backend servers of which it is known what crashed with them.
const maxMoments = 4096

// moments tells which backend servers crashed together. Each instance sees only those that had its requests,
// so that what several have seen is joined. The zero value is empty.
type moments struct {
	// parent leads from a server to another one of the same moment; the first one has itself.
	parent map[string]string
	seen   map[string]time.Time
}

// of returns the server that stands for all that crashed with a server.
func (m *moments) of(server string) string {
	for {
		parent, ok := m.parent[server]
		if !ok || parent == server {
			return server
		}
		server = parent
	}
}

// sizes returns how many servers crashed at each moment.
func (m *moments) sizes() map[string]int {
	out := make(map[string]int, len(m.parent))
	for server := range m.parent {
		out[m.of(server)]++
	}
	return out
}

// join records that servers crashed together.
func (m *moments) join(server string, others []string, now time.Time) {
	if len(others) == 0 || len(m.parent)+len(others)+1 > maxMoments {
		return
	}
	if m.parent == nil {
		m.parent, m.seen = make(map[string]string), make(map[string]time.Time)
	}
	first := m.of(server)
	m.parent[first], m.seen[server], m.seen[first] = first, now, now
	if server != first {
		m.parent[server] = first
	}
	for _, other := range others {
		m.parent[m.of(other)] = first
		m.parent[other], m.seen[other] = first, now
	}
}

// expire forgets servers whose crashes no longer count.
func (m *moments) expire(now time.Time) {
	maps.DeleteFunc(m.seen, func(server string, at time.Time) bool {
		if now.Sub(at) <= evidenceLifetime {
			return false
		}
		delete(m.parent, server)
		return true
	})
}

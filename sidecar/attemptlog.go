package sidecar

// attemptLog remembers the most recent attempts, so that a duplicate is refused. Requests
// that must not be repeated are also bound to the sidecar's incarnation and a deadline, so a
// duplicate cannot arrive after its entry has left a log of sufficient size.
type attemptLog struct {
	keys map[attemptKey]struct{}
	ring []attemptKey
	next int
}

func newAttemptLog(size int) *attemptLog {
	return &attemptLog{keys: make(map[attemptKey]struct{}, size), ring: make([]attemptKey, 0, size)}
}

func (l *attemptLog) has(k attemptKey) bool {
	_, ok := l.keys[k]
	return ok
}

func (l *attemptLog) add(k attemptKey) {
	l.keys[k] = struct{}{}
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, k)
		return
	}
	delete(l.keys, l.ring[l.next])
	l.ring[l.next] = k
	l.next = (l.next + 1) % len(l.ring)
}

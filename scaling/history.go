package scaling

import "time"

const (
	// bucketTime is the time over which demand is averaged, so that a burst that the queues take in adds no servers.
	bucketTime = time.Second
	// turnWindow covers two turns of the slower shift of the load between roles and data centres, which comes every
	// 14 s. What any turn within it needed, the next one may need.
	turnWindow = 30 * time.Second
	// minKnownShare is the fraction of the buckets that must contain a load report before servers are removed. Without
	// reports the demand is unknown, not zero.
	minKnownShare = 1.0 / 3
)

// bucket holds the measurements of one bucketTime.
type bucket struct {
	start        time.Time
	sum          demand
	n            int
	waits, known bool
	// present is the highest number of servers.
	present int
}

func (b *bucket) mean() demand {
	n := float64(max(b.n, 1))
	return demand{b.sum.generate / n, b.sum.prefill / n}
}

// history holds the buckets of the window of a data centre, oldest first.
type history struct {
	buckets []bucket
}

// add records a measurement and forgets buckets that began longer ago than window.
func (h *history) add(m measurement, window time.Duration, now time.Time) {
	if n := len(h.buckets); n == 0 || now.Sub(h.buckets[n-1].start) >= bucketTime {
		h.buckets = append(h.buckets, bucket{start: now})
	}
	b := &h.buckets[len(h.buckets)-1]
	b.sum.generate += m.generate
	b.sum.prefill += m.prefill
	b.n++
	b.waits = b.waits || m.waits
	b.known = b.known || m.known
	b.present = max(b.present, m.usable+m.unusable)
	for len(h.buckets) > 1 && now.Sub(h.buckets[0].start) > window {
		h.buckets = h.buckets[1:]
	}
}

// latest returns the demand of the last two buckets, of which the last may have just begun.
func (h *history) latest() demand {
	var b bucket
	for i := max(0, len(h.buckets)-2); i < len(h.buckets); i++ {
		b.sum.generate += h.buckets[i].sum.generate
		b.sum.prefill += h.buckets[i].sum.prefill
		b.n += h.buckets[i].n
	}
	return b.mean()
}

// mean returns the mean demand of the window.
func (h *history) mean() demand {
	var sum demand
	for i := range h.buckets {
		d := h.buckets[i].mean()
		sum.generate += d.generate
		sum.prefill += d.prefill
	}
	n := float64(max(len(h.buckets), 1))
	return demand{sum.generate / n, sum.prefill / n}
}

// peak returns, for each role by itself, the highest demand: a change of roles takes longer than a turn of the load, so
// that the engines of one role don't help the other one at its own peak.
func (h *history) peak() demand {
	var d demand
	for i := range h.buckets {
		d = d.max(h.buckets[i].mean())
	}
	return d
}

// present returns the highest number of servers.
func (h *history) present() int {
	n := 0
	for i := range h.buckets {
		n = max(n, h.buckets[i].present)
	}
	return n
}

// covers reports whether the buckets reach back for a time.
func (h *history) covers(d time.Duration, now time.Time) bool {
	return len(h.buckets) > 0 && now.Sub(h.buckets[0].start) >= d-bucketTime
}

// waited reports whether callers waited in any bucket.
func (h *history) waited() bool {
	for i := range h.buckets {
		if h.buckets[i].waits {
			return true
		}
	}
	return false
}

// isKnown reports whether enough buckets contain a load report.
func (h *history) isKnown() bool {
	known := 0
	for i := range h.buckets {
		if h.buckets[i].known {
			known++
		}
	}
	return float64(known) >= minKnownShare*float64(len(h.buckets))
}

package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// accountMemory is the time in which an account's demand decays to a half. It is short, because a flood must be known
	// before the prompts that it sends wait at the engines: with 16 instances accounts within their share kept 0.95 of
	// what they get without a flood at 250 ms, 0.90 at 500 ms and 0.86 at 1 s.
	accountMemory = 250 * time.Millisecond
	// capacityMemory is the same for the work that the service takes, which a flood must not change.
	capacityMemory = 8 * time.Second
	// minCapacityTime is the time after the first request from which that work is known.
	minCapacityTime = 2 * time.Second
	// idleCapacity, pressedCapacity and fullCapacity are the work that is shared out, as a multiple of what the service
	// recently took: while nothing waits, where pressure begins, and where every request would be late. What is above 1
	// lets an ordinary load pass whole, and finds out whether there is more room.
	idleCapacity, pressedCapacity, fullCapacity = 2.0, 1.25, 0.8
	// pressureMemory is how long accounts above their share are held back after the last request that found pressure.
	pressureMemory = 2 * time.Second
	// minPressedPart is the part of the recent requests that must find pressure, and pressedWeight the weight of one of
	// them. With room left, single requests wait behind large prompts.
	minPressedPart, pressedWeight = 0.4, 0.1
	// minAccountRatio is the ratio of the admitted part of an account's demand to that of all accounts below which the
	// account is not refused for its share. The users demand 0.25 of what callers get.
	minAccountRatio = 0.3
	// maxTrackedAccounts limits the accounts of all services whose demand is known, at about 100 bytes each. The largest
	// foreseen deployment has 14,000.
	maxTrackedAccounts = 32768
	// maxTrackedServices limits the services, at 5 KB each. The operator's largest configurations have a few hundred.
	maxTrackedServices = 1024
	// evictionSample is the number of accounts of which the one with the least demand is forgotten for a new one.
	evictionSample = 8
)

// accountShares knows how much work each client account recently asked for at each service, and divides the work that
// the service takes by max-min fairness: accounts that ask for less than the others get all of it, and the rest is
// divided equally among the larger ones. It knows only the requests of this process.
type accountShares struct {
	mu       sync.Mutex
	services map[string]*accountPool
	tracked  int
}

// pressure tells how loaded a request finds its service: 0 if nothing waits, 1 where accounts above their share begin to
// be refused, and 2 where all requests are late or refused.
type pressure float64

// accountPool holds the accounts that share one service. Demands are kept inflated by 2^(age/accountMemory), so that
// they decay without being touched.
type accountPool struct {
	// demands holds the accounts' demands by name.
	demands map[string]float64
	// epoch is the time at which the inflation is 1.
	epoch        time.Time
	distribution demandHistogram
	// offered and admitted are the sums over all accounts.
	offered, admitted float64
	// capacity is the admitted work, which decays with capacityMemory.
	capacity          float64
	startedAt         time.Time
	capacityUpdatedAt time.Time
	// pressedPart is a moving average of the part of the requests that find pressure.
	pressedPart    float64
	pressureSeenAt time.Time
}

// rescaleAfter is the inflation from which the demands are scaled back.
const rescaleAfter = 1 << 40

// inflation returns the current inflation, after it has scaled the demands back if necessary.
func (p *accountPool) inflation(s *accountShares, now time.Time) float64 {
	f := math.Exp2(now.Sub(p.epoch).Seconds() / accountMemory.Seconds())
	if f < rescaleAfter {
		return f
	}
	p.epoch, p.distribution = now, demandHistogram{}
	p.offered, p.admitted = p.offered/f, p.admitted/f
	for name, demand := range p.demands {
		if demand /= f; demand < minDemand {
			delete(p.demands, name)
			s.tracked--
			continue
		}
		p.demands[name] = demand
		p.distribution.move(0, demand)
	}
	return 1
}

// pool returns the accounts of a service, or nil if there are too many services. The caller must hold s.mu.
func (s *accountShares) pool(service string, now time.Time) *accountPool {
	p := s.services[service]
	if p != nil {
		return p
	}
	if len(s.services) >= maxTrackedServices {
		return nil
	}
	if s.services == nil {
		s.services = make(map[string]*accountPool)
	}
	p = &accountPool{demands: make(map[string]float64), epoch: now, startedAt: now, capacityUpdatedAt: now}
	s.services[service] = p
	return p
}

// add adds to the demand of an account and returns what it was before. ok is false if there is no room for the account.
// The caller must hold s.mu.
func (s *accountShares) add(p *accountPool, name string, work float64) (before float64, ok bool) {
	before, known := p.demands[name]
	if !known {
		if s.tracked >= maxTrackedAccounts && !s.evict(p) {
			return 0, false
		}
		s.tracked++
	}
	p.demands[name] = before + work
	p.distribution.move(before, before+work)
	return before, true
}

// evict forgets the account with the least demand of a few, and reports whether there was one. Iteration over a map
// begins anywhere, so that an account with much demand is not the least for long.
func (s *accountShares) evict(p *accountPool) bool {
	var least string
	seen := 0
	for name, demand := range p.demands {
		if seen == 0 || demand < p.demands[least] {
			least = name
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	if seen == 0 {
		return false
	}
	p.distribution.move(p.demands[least], 0)
	delete(p.demands, least)
	s.tracked--
	return true
}

// offer records that an account asks for an amount of work, and the pressure that its request finds. pressed is true if
// that is high enough to hold accounts back from now on. It returns the probability with which the request is to be
// admitted as far as its account is concerned: below 1 if the account asks for more than its fair share.
func (s *accountShares) offer(service, name string, work float64, found pressure, pressed bool, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service, now)
	if p == nil {
		return 1
	}
	p.pressedPart -= pressedWeight * p.pressedPart
	if pressed {
		p.pressedPart += pressedWeight
	}
	if p.pressedPart > minPressedPart {
		p.pressureSeenAt = now
	}
	inflation := p.inflation(s, now)
	p.offered += work * inflation
	before, ok := s.add(p, name, work*inflation)
	// The request itself does not count, because a single large one must not be above the share of a small account.
	if !ok || before == 0 || len(p.demands) < 2 || p.pressureSeenAt.IsZero() || now.Sub(p.pressureSeenAt) > pressureMemory || now.Sub(p.startedAt) < minCapacityTime {
		return 1
	}
	level := p.distribution.level(found.capacity() * p.currentCapacity(now) * inflation)
	return max(level/before, minAccountRatio*p.admitted/p.offered)
}

// capacity returns the work that is shared out as a multiple of what the service recently took.
func (f pressure) capacity() float64 {
	if f <= 1 {
		return idleCapacity + (pressedCapacity-idleCapacity)*float64(f)
	}
	return pressedCapacity + (fullCapacity-pressedCapacity)*float64(min(f, 2)-1)
}

// currentCapacity returns the work that the service recently took, as the sum that would be left of it after decaying
// with accountMemory.
func (p *accountPool) currentCapacity(now time.Time) float64 {
	p.decayCapacity(now)
	// Before the capacity was observed for long, part of the sum is missing.
	observed := 1 - math.Exp2(-now.Sub(p.startedAt).Seconds()/capacityMemory.Seconds())
	return p.capacity / observed * accountMemory.Seconds() / capacityMemory.Seconds()
}

func (p *accountPool) decayCapacity(now time.Time) {
	if age := now.Sub(p.capacityUpdatedAt); age > 0 {
		p.capacity *= math.Exp2(-age.Seconds() / capacityMemory.Seconds())
		p.capacityUpdatedAt = now
	}
}

// admit records that work which was offered before is admitted. A negative amount takes back work that did not run after
// all.
func (s *accountShares) admit(service string, work float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.services[service]
	if p == nil {
		return
	}
	p.decayCapacity(now)
	p.capacity = max(0, p.capacity+work)
	p.admitted = max(0, p.admitted+work*p.inflation(s, now))
}

const (
	// bucketsPerOctave sets the resolution of demandHistogram: a level between two accounts is off by a fifth at most.
	bucketsPerOctave = 4
	// minDemand is the least demand that is told apart and remembered, in units of work.
	minDemand = 1.0 / 64
	// demandOctaves covers minDemand to 2^30 units of work, times rescaleAfter.
	demandOctaves = 6 + 30 + 40
)

// demandHistogram is the distribution of the demand of accounts, in buckets of equal ratio.
type demandHistogram struct {
	accounts int
	// lowest and highest are the limits of the buckets that may be in use; highest is not included.
	lowest, highest int
	buckets         [demandOctaves * bucketsPerOctave]demandBucket
}

type demandBucket struct {
	accounts int
	demand   float64
}

func bucketOf(demand float64) int {
	i := int(math.Log2(demand/minDemand) * bucketsPerOctave)
	return min(max(i, 0), demandOctaves*bucketsPerOctave-1)
}

// move changes the demand of one account. A demand of 0 is that of no account.
func (h *demandHistogram) move(from, to float64) {
	if from > 0 {
		b := &h.buckets[bucketOf(from)]
		b.accounts--
		b.demand -= from
		if b.accounts == 0 {
			b.demand = 0 // without the rounding errors
		}
		h.accounts--
	}
	if to > 0 {
		i := bucketOf(to)
		b := &h.buckets[i]
		b.accounts++
		b.demand += to
		if h.accounts == 0 {
			h.lowest, h.highest = i, i+1
		}
		h.lowest, h.highest = min(h.lowest, i), max(h.highest, i+1)
		h.accounts++
	}
}

// level returns the largest amount that an account may get if a capacity is divided fairly; infinity if there is enough
// for all.
func (h *demandHistogram) level(capacity float64) float64 {
	left, larger := capacity, h.accounts
	for i := h.lowest; i < h.highest; i++ {
		b := &h.buckets[i]
		if b.accounts == 0 {
			continue
		}
		if l := left / float64(larger); l*float64(b.accounts) < b.demand {
			return l
		}
		left -= b.demand
		larger -= b.accounts
	}
	return math.Inf(1)
}

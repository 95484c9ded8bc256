package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/splitmix"
)

const (
	// readWeight weighs the time that a backend server spends on reading against the time that this
	// request waits. Above 1, a request rather waits a little than makes another backend server read
	// what one has read already.
	readWeight = 2
	// decodeReadWeight is the weight on an engine that generates answers, whose steps get longer for
	// all of them while it reads.
	decodeReadWeight = 5
	// handover is the expected time to move a prompt that was read and to start the answer.
	handover = 4 * time.Millisecond
	// perRequest is the expected delay by one more request that generates on the same backend server.
	perRequest = 300 * time.Microsecond
	// fullShare is the share of an engine's places from which requests are expected to wait, and
	// perPlace the expected wait for each request beyond.
	fullShare = 0.85
	perPlace  = 30 * time.Millisecond
	// maxPlaceWait bounds that wait: requests with long prompts are the urgent ones, which engines
	// admit first.
	maxPlaceWait = 100 * time.Millisecond
	// crossing is added for another data centre: the bytes between data centres are scarce.
	crossing = 3 * time.Millisecond
	// failurePenalty is added for a backend server that fails all requests, and its share for one
	// that fails some.
	failurePenalty = 2 * time.Second
	// shortPrompt is the most unread prompt tokens for which a second backend server is not worth
	// its handover.
	shortPrompt = 512
)

// Reasons of choices.
const (
	reasonNone   = "no_server"
	reasonLoad   = "least_load"
	reasonPair   = "read_elsewhere"
	reasonSingle = "one_server"
	reasonRead   = "read_before"
)

// choice is where one request goes.
type choice struct {
	// reader reads the prompt for server; nil if server does both.
	reader *Server
	server *Server
	// unread are the prompt tokens that reader, or server without one, has to read.
	unread float64
	// first is the expected time to the first event.
	first time.Duration
	// crowding is the share of the server's places that are taken.
	crowding float64
	// excess is the part of first by which reading takes longer than it does for the mean request.
	excess time.Duration
	reason string
	// considered is the number of backend servers that were compared.
	considered int
}

// pace is what has been learned of the speed of a service's engines.
type pace struct {
	mu sync.Mutex
	// perToken is the time to read one prompt token by role.
	perToken map[external.Role]float64
	// unread is the mean of unread tokens per request.
	unread float64
}

const (
	// initialPerToken is the time per prompt token before anything was observed: 100 tokens a
	// millisecond, of the order of an eight-accelerator engine.
	initialPerToken = 1e-5
	initialUnread   = 1000
	learnRate       = 0.05
	// minLearnTokens is the least work from which a speed is learned; fixed costs dominate below.
	minLearnTokens = 512
	// maxPace bounds what a single observation can teach, as a factor.
	maxPace = 4
)

func newPace() *pace {
	return &pace{perToken: map[external.Role]float64{}, unread: initialUnread}
}

func (p *pace) values() (perToken func(external.Role) float64, unread float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefill, decode := p.role(external.RolePrefill), p.role(external.RoleDecode)
	return func(r external.Role) float64 {
		if r == external.RolePrefill {
			return prefill
		}
		return decode
	}, p.unread
}

func (p *pace) role(r external.Role) float64 {
	if v, ok := p.perToken[r]; ok {
		return v
	}
	return initialPerToken
}

// observe learns from a prompt that was read behind a queue.
func (p *pace) observe(r external.Role, tokens, ahead float64, elapsed time.Duration) {
	if r != external.RolePrefill {
		r = external.RoleDecode
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unread += learnRate * (tokens - p.unread)
	if tokens < minLearnTokens {
		return
	}
	old := p.role(r)
	seen := elapsed.Seconds() / (tokens + ahead)
	p.perToken[r] = old + learnRate*(min(max(seen, old/maxPace), old*maxPace)-old)
}

// candidates returns the servers that were not tried: those that are usable, or also the avoided ones.
func candidates(servers []*Server, tried []*live, now time.Time, avoided bool) ([]*Server, []view) {
	out := make([]*Server, 0, len(servers))
	views := make([]view, 0, len(servers))
	for _, s := range servers {
		if slices.Contains(tried, s.live) {
			continue
		}
		if v := s.view(now); v.usable || avoided {
			out, views = append(out, s), append(views, v)
		}
	}
	return out, views
}

// choosePlain returns the server with the least load for its size.
func choosePlain(servers []*Server, views []view, dataCentre string, random Random) choice {
	best, cost := -1, math.Inf(1)
	for i, s := range servers {
		if s.Role == external.RolePrefill {
			continue // answers nothing by itself
		}
		c := (float64(views[i].inFlight+views[i].others) + 0.5) / float64(max(s.Slots, 1))
		c += views[i].failing * failurePenalty.Seconds()
		if s.DataCentre != dataCentre {
			c += 0.05
		}
		c += 0.01 * random()
		if c < cost {
			best, cost = i, c
		}
	}
	if best < 0 {
		return choice{reason: reasonNone}
	}
	return choice{server: servers[best], reason: reasonLoad, considered: len(servers)}
}

// prompt is what a choice needs to know of a request with a prompt.
type prompt struct {
	call       *Call
	keys       []uint64
	dataCentre string
	random     Random
}

// Random returns numbers from 0 to 1. Entries that know the same do not all choose the same server.
type Random func() float64

// home is the key under which prompts that share parts find the same backend server: the prompt up
// to the part before its own.
func (p *prompt) home() uint64 {
	if n := len(p.keys); n > 1 {
		return p.keys[n-2]
	} else if n == 1 {
		return p.keys[0]
	}
	return math.Float64bits(p.random())
}

// choosePrompt compares reading on each server that can read with the time until the first event.
func choosePrompt(servers []*Server, views []view, cached []float64, p *prompt, perToken func(external.Role) float64, meanUnread float64, decoders *decoders) choice {
	if decoders.best(p.dataCentre) < 0 {
		return choice{reason: reasonNone}
	}
	creditHomes(servers, cached, p)
	best, cost := choice{reason: reasonNone}, math.Inf(1)
	for i, s := range servers {
		v := views[i]
		speed := perToken(s.Role)
		unread := max(1, float64(p.call.PromptTokens)-cached[i])
		wait := (v.pending + float64(v.others)*meanUnread) * speed
		read := unread * speed
		c := choice{server: s, unread: unread, reason: reasonSingle}
		first := wait + read
		extra := v.failing * failurePenalty.Seconds()
		if s.Role == external.RolePrefill {
			if unread < shortPrompt && float64(p.call.PromptTokens) < 2*shortPrompt {
				continue
			}
			d := decoders.best(s.DataCentre)
			c.reader, c.server, c.reason = s, servers[d], reasonPair
			first += handover.Seconds() + max(v.move, views[d].move) + decodeDelay(servers[d], views[d])
			extra += views[d].failing * failurePenalty.Seconds()
		} else {
			first += decodeDelay(s, v)
			// Engines that are equally good take turns.
			extra += p.random() * perRequest.Seconds()
		}
		if s.DataCentre != p.dataCentre {
			extra += crossing.Seconds() / 3
		}
		if s.Role == external.RoleDecode {
			extra += (decodeReadWeight - readWeight) * read
		}
		if total := first + (readWeight-1)*read + extra; total < cost {
			c.first = time.Duration(first * float64(time.Second))
			c.excess = time.Duration(max(0, unread-meanUnread) * speed * float64(time.Second))
			best, cost = c, total
		}
	}
	best.considered = len(servers)
	if i := slices.Index(servers, best.server); i >= 0 {
		best.crowding = float64(views[i].inFlight+views[i].others) / float64(max(servers[i].Slots, 1))
	}
	return best
}

// chooseDecoder picks the server that goes on with a prompt which the reader has read.
func chooseDecoder(servers []*Server, reader *Server, decoders *decoders) choice {
	best := decoders.best(reader.DataCentre)
	if best < 0 {
		return choice{reason: reasonNone}
	}
	return choice{server: servers[best], reason: reasonRead, considered: len(servers)}
}

// decodeDelay is how much later the first event comes because of others that generate. Beyond most
// of the places, requests wait for others to end.
func decodeDelay(s *Server, v view) float64 {
	n := float64(v.inFlight + v.others)
	wait := max(0, n-fullShare*float64(s.Slots)) * perPlace.Seconds()
	return n*perRequest.Seconds() + min(wait, maxPlaceWait.Seconds())
}

// decoders finds the server on which an answer is generated fastest. All servers are looked at once for
// each data centre in which a prompt may be.
type decoders struct {
	servers []*Server
	views   []view
	// dataCentre is that of this process.
	dataCentre string
	random     Random
	found      map[string]int
	// scans counts the looks at all servers.
	scans int
}

func newDecoders(servers []*Server, views []view, dataCentre string, random Random) *decoders {
	return &decoders{servers: servers, views: views, dataCentre: dataCentre, random: random, found: make(map[string]int, 4)}
}

// best returns the index of the best server for a prompt in a data centre, or -1. It prefers that data
// centre, because a prompt moves between data centres at twice the cost, and then that of this process.
func (d *decoders) best(promptAt string) int {
	if i, ok := d.found[promptAt]; ok {
		return i
	}
	d.scans++
	best, cost := -1, math.Inf(1)
	for i, s := range d.servers {
		if s.Role == external.RolePrefill {
			continue
		}
		c := decoderCost(s, d.views[i], promptAt) + d.views[i].move + d.random()*perRequest.Seconds()
		if s.DataCentre != d.dataCentre {
			c += crossing.Seconds() / 3
		}
		if c < cost {
			best, cost = i, c
		}
	}
	d.found[promptAt] = best
	return best
}

func decoderCost(s *Server, v view, dataCentre string) float64 {
	c := decodeDelay(s, v) + v.pending*initialPerToken/10 + v.failing*failurePenalty.Seconds()
	if s.DataCentre != dataCentre {
		c += crossing.Seconds()
	}
	return c
}

// creditHomes raises what is expected to be kept on the homes of the prompt's shared parts. Each entry
// knows only the prompts that it sent itself; the homes are the same for all of them.
func creditHomes(servers []*Server, cached []float64, p *prompt) {
	shared := 0
	for _, part := range p.call.Parts[:max(0, len(p.call.Parts)-1)] {
		shared += part.Tokens
	}
	for rank, i := range homes(servers, p.home()) {
		if i >= 0 {
			cached[i] = max(cached[i], homeCredit[rank]*float64(shared))
		}
	}
}

// homeCredit is the part of the shared tokens that is expected on the first and the second home.
var homeCredit = [...]float64{0.75, 0.35}

// homes is rendezvous hashing over the servers that read prompts best: the prefill engines, or all if
// there are none. Entries agree on it because it depends on nothing that one of them learned.
func homes(servers []*Server, key uint64) [len(homeCredit)]int {
	first, second := -1, -1
	var top, next uint64
	prefill := slices.ContainsFunc(servers, func(s *Server) bool { return s.Role == external.RolePrefill })
	for i, s := range servers {
		if prefill && s.Role != external.RolePrefill {
			continue
		}
		score := splitmix.Mix(s.key ^ key)
		switch {
		case first < 0 || score > top:
			second, next = first, top
			first, top = i, score
		case second < 0 || score > next:
			second, next = i, score
		}
	}
	return [...]int{first, second}
}

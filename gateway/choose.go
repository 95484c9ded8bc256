package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/splitmix"
)

const (
	// idlePrefillWeight is the factor by which a second of prefilling counts in the cost compared with
	// a second of waiting, while no prompts queue. Above 1 it favours backend servers that have the
	// prompt cached, even if the request waits a little longer there.
	idlePrefillWeight = 2
	// maxQueueWeight limits what queued prompts add to idlePrefillWeight.
	maxQueueWeight = 8
	// decodePrefillWeight is added to the prefill weight on idle decode engines, and twice that on engines all
	// of whose slots are in use: a prefill slows down every step of the answers being generated.
	decodePrefillWeight = 3
	// transferTime is the expected time to transfer a prefilled prompt to another engine and to
	// start the answer there.
	transferTime = 4 * time.Millisecond
	// delayPerRequest is the expected delay from each other request that generates on the same
	// backend server.
	delayPerRequest = 300 * time.Microsecond
	// queueingUtilisation is the fraction of an engine's slots in use above which requests are
	// expected to queue, and queueDelayPerRequest the expected delay from each request above it.
	queueingUtilisation  = 0.85
	queueDelayPerRequest = 30 * time.Millisecond
	// maxQueueDelay limits the expected queueing delay: engines admit urgent requests first, and
	// requests with long prompts are the urgent ones.
	maxQueueDelay = 100 * time.Millisecond
	// crossDataCentreTransferCost is the cost of transferring a prompt between data centres, where
	// bandwidth is scarce. Forwarding a request to another data centre costs a third of it.
	crossDataCentreTransferCost = 3 * time.Millisecond
	// failurePenalty is the cost of a backend server on which all requests fail; it is scaled by
	// the failure rate.
	failurePenalty = 2 * time.Second
	// shortPromptTokens is the number of uncached tokens below which prefilling on a second backend
	// server does not pay for the transfer.
	shortPromptTokens = 512
)

// Reasons for a choice, as logged.
const (
	reasonNoServer         = "no_server"
	reasonAllRest          = "servers_resting"
	reasonAllLeave         = "servers_leaving"
	reasonLeastLoad        = "least_load"
	reasonPrefillElsewhere = "read_elsewhere"
	reasonOneServer        = "one_server"
	reasonAlreadyPrefilled = "read_before"
)

// choice holds the backend servers selected for a request.
type choice struct {
	// prefillServer prefills the prompt for server; nil if server does both.
	prefillServer *Server
	server        *Server
	// uncachedTokens is the number of prompt tokens to be prefilled by prefillServer, or by server
	// if there is no prefillServer.
	uncachedTokens float64
	// timeToFirst is the expected time to the first event.
	timeToFirst time.Duration
	// wait is the part of timeToFirst that prompts ahead on the prefilling engine take.
	wait time.Duration
	// utilisation is the fraction of the server's slots in use.
	utilisation float64
	// slotsInUse is the fraction of the slots of all compared servers in use, if they generate answers without a
	// declared prompt.
	slotsInUse float64
	// excessPrefill is the part of timeToFirst by which the prefill takes longer than that of a
	// mean request.
	excessPrefill time.Duration
	reason        string
	// restsFor is how long until the first backend server takes requests again, if all that are left rest.
	restsFor time.Duration
	// considered is the number of backend servers that were compared.
	considered int
}

// candidates returns the servers that were not tried yet and don't rest: the ones that are usable for requests with
// a target, or all of them if includeUnusable is set.
func candidates(servers []*Server, tried []*serverState, target time.Duration, now time.Time, includeUnusable bool) ([]*Server, []view) {
	out := make([]*Server, 0, len(servers))
	views := make([]view, 0, len(servers))
	for _, s := range servers {
		if slices.Contains(tried, s.state) {
			continue
		}
		if v := s.view(now); v.restsFor == 0 && (v.usableFor(target) || includeUnusable) {
			out, views = append(out, s), append(views, v)
		}
	}
	return out, views
}

// chooseLeastLoaded chooses the server with the lowest load per slot, with penalties for failures and
// other data centres. Prefill engines are not considered; if there are no others, the choice has no
// server.
func chooseLeastLoaded(servers []*Server, views []view, dataCentre string, random Random) choice {
	best, cost := -1, math.Inf(1)
	slots, used := 0, 0
	for i, s := range servers {
		if s.Role == external.EngineRolePrefill {
			continue // cannot generate answers
		}
		slots += max(s.Slots, 0)
		used += min(views[i].inFlight+views[i].otherRequests, max(s.Slots, 0))
		c := (float64(views[i].inFlight+views[i].otherRequests) + 0.5) / float64(max(s.Slots, 1))
		c += views[i].failureRate * failurePenalty.Seconds()
		if s.DataCentre != dataCentre {
			c += 0.05
		}
		c += 0.01 * random()
		if c < cost {
			best, cost = i, c
		}
	}
	if best < 0 {
		return choice{reason: reasonNoServer}
	}
	return choice{server: servers[best], reason: reasonLeastLoad, considered: len(servers), slotsInUse: float64(used) / float64(max(slots, 1))}
}

// promptRequest holds what is needed to choose servers for a request with a prompt.
type promptRequest struct {
	metadata   *RequestMetadata
	prefixKeys []uint64
	// dataCentre is the data centre of this process.
	dataCentre string
	random     Random
	// noTransfer excludes prefills on another engine.
	noTransfer bool
}

// Random returns numbers from 0 to 1. It keeps gateway instances with the same information from all
// choosing the same server.
type Random func() float64

// affinityKey returns the key that sends prompts with a common prefix to the same backend servers:
// the key of the prompt without its last part. A prompt of one part has the key of that part, one
// without parts a random key.
func (p *promptRequest) affinityKey() uint64 {
	if n := len(p.prefixKeys); n > 1 {
		return p.prefixKeys[n-2]
	} else if n == 1 {
		return p.prefixKeys[0]
	}
	return math.Float64bits(p.random())
}

// choosePrompt returns the servers with the lowest cost: the expected time to the first event, plus
// a weight for prefill work and penalties for failures and other data centres.
func choosePrompt(servers []*Server, views []view, cachedTokens []float64, p *promptRequest, estimates prefillEstimates, selector *decodeSelector) choice {
	if selector.best(p.dataCentre) < 0 {
		return choice{reason: reasonNoServer}
	}
	creditAffinity(servers, cachedTokens, p)
	best, cost := choice{reason: reasonNoServer}, math.Inf(1)
	prefillWeight := idlePrefillWeight + queueWeight(servers, views, &estimates)
	for i, s := range servers {
		v := views[i]
		prefill := estimates.forRole(s.Role)
		uncachedTokens := max(1, float64(p.metadata.PromptTokens)-cachedTokens[i])
		wait := prefill.wait(&v)
		prefillTime := uncachedTokens * prefill.perToken
		c := choice{server: s, uncachedTokens: uncachedTokens, reason: reasonOneServer}
		timeToFirst := prefill.fixed + wait + prefillTime
		penalty := v.failureRate * failurePenalty.Seconds()
		if s.Role == external.EngineRolePrefill {
			if p.noTransfer || uncachedTokens < shortPromptTokens && float64(p.metadata.PromptTokens) < 2*shortPromptTokens {
				continue
			}
			d := selector.best(s.DataCentre)
			c.prefillServer, c.server, c.reason = s, servers[d], reasonPrefillElsewhere
			timeToFirst += transferTime.Seconds() + max(v.transferExcess, views[d].transferExcess) + decodeDelay(servers[d], views[d])
			penalty += views[d].failureRate * failurePenalty.Seconds()
		} else {
			timeToFirst += decodeDelay(s, v)
			// Spreads requests over equally good engines.
			penalty += p.random() * delayPerRequest.Seconds()
		}
		if s.DataCentre != p.dataCentre {
			penalty += crossDataCentreTransferCost.Seconds() / 3
		}
		if s.Role == external.EngineRoleDecode {
			penalty += decodePrefillWeight * (1 + utilisation(s, v)) * prefillTime
		}
		if total := timeToFirst + (prefillWeight-1)*prefillTime + penalty; total < cost {
			c.timeToFirst = time.Duration(timeToFirst * float64(time.Second))
			c.wait = time.Duration(wait * float64(time.Second))
			c.excessPrefill = time.Duration(max(0, uncachedTokens-estimates.meanUncached) * prefill.perToken * float64(time.Second))
			best, cost = c, total
		}
	}
	best.considered = len(servers)
	if i := slices.Index(servers, best.server); i >= 0 {
		best.utilisation = utilisation(servers[i], views[i])
	}
	return best
}

// queueWeight returns the mean number of prompts that queue at an engine. A wait delays one request, but a
// prefill also those behind it. Without this weight, prompts that leave a busy affinity server are
// prefilled again elsewhere, which makes all engines busier under load.
func queueWeight(servers []*Server, views []view, estimates *prefillEstimates) float64 {
	n, wait := 0, 0.0
	for i, s := range servers {
		if s.Role != external.EngineRoleDecode {
			n++
			wait += estimates.prefill.wait(&views[i])
		}
	}
	meanPrefill := estimates.meanUncached * estimates.prefill.perToken
	if n == 0 || meanPrefill <= 0 {
		return 0
	}
	return min(wait/float64(n)/meanPrefill, maxQueueWeight)
}

// chooseDecodeServer returns the server that generates the answer to a prompt prefilled by
// prefillServer.
func chooseDecodeServer(servers []*Server, prefillServer *Server, selector *decodeSelector) choice {
	best := selector.best(prefillServer.DataCentre)
	if best < 0 {
		return choice{reason: reasonNoServer}
	}
	return choice{server: servers[best], reason: reasonAlreadyPrefilled, considered: len(servers)}
}

// utilisation returns the fraction of the server's slots in use.
func utilisation(s *Server, v view) float64 {
	return float64(v.inFlight+v.reportedRequests) / float64(max(s.Slots, 1))
}

// decodeDelay returns the expected delay of the first event, in seconds, from other requests that
// generate on the server. When most slots are in use, requests also queue for a free one.
func decodeDelay(s *Server, v view) float64 {
	n := float64(v.inFlight + v.otherRequests)
	wait := max(0, n-queueingUtilisation*float64(s.Slots)) * queueDelayPerRequest.Seconds()
	return n*delayPerRequest.Seconds() + min(wait, maxQueueDelay.Seconds())
}

// decodeSelector finds the server with the lowest cost for generating an answer. It scans the
// servers once for each data centre in which a prompt may be prefilled.
type decodeSelector struct {
	servers []*Server
	views   []view
	// dataCentre is the data centre of this process.
	dataCentre       string
	random           Random
	bestByDataCentre map[string]int
	// scans counts the scans over all servers.
	scans int
}

func newDecodeSelector(servers []*Server, views []view, dataCentre string, random Random) *decodeSelector {
	return &decodeSelector{servers: servers, views: views, dataCentre: dataCentre, random: random, bestByDataCentre: make(map[string]int, 4)}
}

// best returns the index of the best server for a prompt in a data centre, or -1 if there is none.
// It prefers that data centre, because transferring a prompt between data centres costs three times
// as much as forwarding a request to another one, and then the data centre of this process.
func (d *decodeSelector) best(promptDataCentre string) int {
	if i, ok := d.bestByDataCentre[promptDataCentre]; ok {
		return i
	}
	d.scans++
	best, cost := -1, math.Inf(1)
	for i, s := range d.servers {
		if s.Role == external.EngineRolePrefill {
			continue
		}
		c := decodeCost(s, d.views[i], promptDataCentre) + d.views[i].transferExcess + d.random()*delayPerRequest.Seconds()
		if s.DataCentre != d.dataCentre {
			c += crossDataCentreTransferCost.Seconds() / 3
		}
		if c < cost {
			best, cost = i, c
		}
	}
	d.bestByDataCentre[promptDataCentre] = best
	return best
}

// decodeCost returns the cost of generating, on the server, the answer to a prompt in a data centre,
// in seconds. Pending prefills count at a tenth of their estimated time.
func decodeCost(s *Server, v view, dataCentre string) float64 {
	c := decodeDelay(s, v) + v.pendingTokens*initialPerToken/10 + v.failureRate*failurePenalty.Seconds()
	if s.DataCentre != dataCentre {
		c += crossDataCentreTransferCost.Seconds()
	}
	return c
}

// creditAffinity raises the expected number of cached tokens on the affinity servers of the
// prompt's shared parts. An instance knows only the prompts that it has sent itself, but all
// instances compute the same affinity servers. A prefix that this instance has not sent is therefore
// probably cached there, because another instance has sent it.
func creditAffinity(servers []*Server, cachedTokens []float64, p *promptRequest) {
	shared := 0
	for _, part := range p.metadata.Parts[:max(0, len(p.metadata.Parts)-1)] {
		shared += part.Tokens
	}
	for rank, i := range affinityServers(servers, p.affinityKey()) {
		if i >= 0 {
			cachedTokens[i] = max(cachedTokens[i], affinityCredit[rank]*float64(shared))
		}
	}
}

// affinityCredit is the fraction of the shared tokens that is expected to be cached on the first
// and the second affinity server.
var affinityCredit = [...]float64{0.75, 0.35}

// affinityServers selects two servers by rendezvous hashing, from the prefill engines or, if there
// are none, from all servers. It returns the indexes of the servers with the highest and the second
// highest score; -1 stands for a missing one. The result depends on no locally learned state, so
// that all gateway instances agree on it.
func affinityServers(servers []*Server, key uint64) [len(affinityCredit)]int {
	first, second := -1, -1
	var top, next uint64
	prefill := slices.ContainsFunc(servers, func(s *Server) bool { return s.Role == external.EngineRolePrefill })
	for i, s := range servers {
		if prefill && s.Role != external.EngineRolePrefill {
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

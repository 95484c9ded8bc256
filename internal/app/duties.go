package app

import (
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/internal/telemetry"
	"github.com/quetzallug/quetzallug/lease"
)

// duties holds what the duties of the lease holder share: the client, whose rate and turn apply to all of them.
type duties struct {
	client *duty.Client
	kinds  map[duty.Kind]bool
}

// has reports whether this deployment has a duty.
func (d *duties) has(k duty.Kind) bool { return d != nil && d.kinds[k] }

// newDuties returns the duties of this deployment, or nil if there are none. An unknown duty does not keep the process
// from starting, because the other duties and the callers do not depend on it.
func newDuties(s *settings.Gateway, leases *lease.Manager, a Adapter, log logrus.FieldLogger) *duties {
	kinds, err := duty.ParseKinds(s.Duties, a)
	if err != nil {
		log.WithError(err).Error("setting duties names unknown duties, which are ignored")
	}
	switch {
	case len(kinds) == 0:
		return nil
	case s.DutyAddress == "" || leases == nil:
		log.Error("duties are off because duty-address is empty or lease-ttl is 0s")
		return nil
	}
	return &duties{client: duty.NewClient(s.DutyAddress, s.DutyRate, nil), kinds: kinds}
}

// newDemand returns the counts of requests that the plan of the number of backend servers uses.
func newDemand(m *telemetry.Gateway) *gateway.Demand { return gateway.NewDemand(m) }

// newScaler returns the planner of the number of backend servers, or nil if this deployment has no such duty.
func newScaler(d *duties, s *settings.Gateway, a Adapter, r *gateway.Roster, demand *gateway.Demand, m *telemetry.Gateway, log logrus.FieldLogger) *gateway.Scaler {
	if !d.has(duty.Scale) {
		return nil
	}
	return gateway.NewScaler(s.LeaseTTL+duty.CallTimeout, a, d.client, r, demand, m, log)
}

// runScaler sends the orders that the rounds of the role planner plan.
func runScaler(lc fx.Lifecycle, s *gateway.Scaler, guard *contain.Guard) {
	if s != nil {
		runInBackground(lc, guard.Loop("scaling", s.Run))
	}
}

package entry

import (
	"github.com/quetzallug/quetzallug/dissemination"
	"github.com/quetzallug/quetzallug/document"
)

// ActiveDocuments reads the active configuration documents from a dissemination store. It passes
// revisions that were seen in traffic to the agent, if there is one.
type ActiveDocuments struct {
	Store *dissemination.Store
	Agent *dissemination.Agent
}

var _ Documents = (*ActiveDocuments)(nil)

// Lookup implements Documents.
func (d *ActiveDocuments) Lookup(service string) (*document.Service, uint64) {
	state := d.Store.Snapshot().Service(service)
	if state == nil {
		return nil, 0
	}
	return state.Parsed, state.Revision
}

// Services implements Documents.
func (d *ActiveDocuments) Services() []*document.Service {
	var all []*document.Service
	for _, state := range d.Store.Snapshot() {
		if state.Parsed != nil {
			all = append(all, state.Parsed)
		}
	}
	return all
}

// Revision returns the highest revision of a service's document that this process has received, or
// 0 if it has none. It may be higher than the active one, which Lookup returns.
func (d *ActiveDocuments) Revision(service string) uint64 {
	if state := d.Store.Snapshot()[service]; state != nil {
		return state.HighestRevision()
	}
	return 0
}

// Observe implements Documents.
func (d *ActiveDocuments) Observe(service string, revision uint64) {
	if d.Agent != nil {
		d.Agent.Observe(service, revision)
	}
}

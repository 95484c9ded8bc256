package entry

import (
	"github.com/quetzallug/quetzallug/dissemination"
	"github.com/quetzallug/quetzallug/document"
)

// DocumentsInForce reads the active configuration documents from a dissemination store. It passes
// revisions that were seen in traffic to the agent, if there is one.
type DocumentsInForce struct {
	Store *dissemination.Store
	Agent *dissemination.Agent
}

var _ Documents = (*DocumentsInForce)(nil)

// Lookup implements Documents.
func (d *DocumentsInForce) Lookup(service string) (*document.Service, uint64) {
	f := d.Store.Snapshot().Service(service)
	if f == nil {
		return nil, 0
	}
	return f.Parsed, f.Revision
}

// Services implements Documents.
func (d *DocumentsInForce) Services() []*document.Service {
	var all []*document.Service
	for _, f := range d.Store.Snapshot() {
		if f.Parsed != nil {
			all = append(all, f.Parsed)
		}
	}
	return all
}

// Revision returns the highest revision of a service's document that this process has received, or
// 0 if it has none.
func (d *DocumentsInForce) Revision(service string) uint64 {
	if f := d.Store.Snapshot()[service]; f != nil {
		return f.Highest()
	}
	return 0
}

// Observe implements Documents.
func (d *DocumentsInForce) Observe(service string, revision uint64) {
	if d.Agent != nil {
		d.Agent.Observe(service, revision)
	}
}

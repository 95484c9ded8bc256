// Package instancewire defines the HTTP messages of the platform's instance list.
package instancewire

import "github.com/quetzallug/quetzallug/external"

// Paths of the calls.
const (
	PathList     = "/instances"          // GET ?after=version&epoch=epoch, answers List
	PathRegister = "/instances/register" // POST Registration
	PathLeave    = "/instances/leave"    // POST Leave
	PathRemove   = "/instances/remove"   // POST Leave
)

// List is the whole list, or what has changed since a version. The service answers with changes
// only if the request names its epoch and a version that it can still compare with.
type List struct {
	// Epoch differs between starts of the service; versions are comparable within one epoch.
	Epoch   string `json:"epoch"`
	Version uint64 `json:"version"`
	// Since is the version that the changes follow, 0 for the whole list.
	Since     uint64              `json:"since,omitempty"`
	Instances []external.Instance `json:"instances,omitempty"`
	// Removed holds the IDs of the instances that are gone.
	Removed []string `json:"removed,omitempty"`
}

// Registration adds an instance. It expires after TTLMS milliseconds unless it is repeated; 0
// means that it does not expire.
type Registration struct {
	Instance external.Instance `json:"instance"`
	TTLMS    int64             `json:"ttl_ms,omitempty"`
}

// Leave names an instance that leaves.
type Leave struct {
	ID string `json:"id"`
}

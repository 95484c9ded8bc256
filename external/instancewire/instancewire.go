// Package instancewire defines the HTTP messages of the platform's instance list.
package instancewire

import "github.com/quetzallug/quetzallug/external"

// Paths of the calls.
const (
	PathList     = "/instances"          // GET ?after=version&epoch=epoch, returns List
	PathRegister = "/instances/register" // POST Registration
	PathLeave    = "/instances/leave"    // POST InstanceRef
	PathRemove   = "/instances/remove"   // POST InstanceRef
)

// List is the whole instance list, or the changes since a version. The service returns changes only if
// the request contains the service's current epoch and a version from which the changes are still known.
type List struct {
	// Epoch identifies a start of the service. Versions can be compared only within an epoch.
	Epoch   string `json:"epoch"`
	Version uint64 `json:"version"`
	// Since is the version since which Instances and Removed list the changes, or 0 if Instances is the
	// whole list.
	Since     uint64              `json:"since,omitempty"`
	Instances []external.Instance `json:"instances,omitempty"`
	// Removed contains the IDs of the instances that were removed since version Since.
	Removed []string `json:"removed,omitempty"`
}

// Registration adds or replaces an instance. The instance is removed after TTLMS milliseconds unless it
// is registered again. If TTLMS is 0, the registration does not expire.
type Registration struct {
	Instance external.Instance `json:"instance"`
	TTLMS    int64             `json:"ttl_ms,omitempty"`
}

// InstanceRef identifies the instance that is to be marked as leaving or removed.
type InstanceRef struct {
	ID string `json:"id"`
}

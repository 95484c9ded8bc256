// Package connlimit decides how many connections each listener of a process may hold, and which connection is closed
// first when there are too many. It uses no network and no clock. The design is in docs/design/client-limits.md.
package connlimit

// Shares divides the file descriptors of a process. The parts add up to the number that the process may open, so that
// connections of one kind never use up those that another kind needs.
type Shares struct {
	// Files is for files, of which the machine's other tools open some in the name of the process.
	Files int
	// Process is for the standard streams, the poller and the listeners.
	Process int
	// Store is for connections to the store: the watch, the lease and the records.
	Store int
	// Readiness and Metrics are for connections to the listeners of the readiness check and of the metrics.
	Readiness, Metrics int
	// Peers is for connections between instances.
	Peers int
	// Callers is for connections of callers, and Backends for those to backend servers.
	Callers, Backends int
}

const (
	// fileDescriptors is the number of descriptors that are reserved for files on real machines. Processes with few
	// descriptors reserve a part of them.
	fileDescriptors = 200
	filePart        = 8
	// processDescriptors covers the 11 descriptors that a gateway has open without any connection, its three listeners
	// included, and one for each listener: a connection that is accepted above the limit is open until another is closed.
	processDescriptors = 16
	// storeDescriptors is above the number of calls to the store that run at the same time: a watch, a lease renewal,
	// and writes of orders and of the quarantine.
	storeDescriptors = 12
	// maxInternal and internalPart limit the connections to the listeners of the readiness check and of the metrics.
	// Their clients are the platform's checker and a few scrapers.
	maxInternal  = 32
	internalPart = 32
	// callerPart and callerWhole give callers two thirds of the rest: many of their connections are idle, and every
	// connection to a backend server serves one of them.
	callerPart, callerWhole = 2, 3
	// ConnectionMemory is what the process holds for a connection of a caller without a request: its descriptor,
	// two buffers of 4 KiB and the stack of its goroutine.
	ConnectionMemory = 16 << 10
	// connectionMemoryPart is the part of the machine's memory that connections without a request may take.
	connectionMemoryPart = 4
	// closingMemoryPart is the part of the machine's memory that connections may take that were closed because of a
	// limit and whose goroutines have not ended.
	closingMemoryPart = 8
)

// MaxClosing returns the largest number of connections of a listener that may be closing on a machine with memory bytes.
func MaxClosing(memory int64) int {
	return int(max(minClosing, memory/closingMemoryPart/ConnectionMemory))
}

// minClosing keeps a listener from accepting nothing for half a second after a few connections were closed.
const minClosing = 64

// NewShares divides maxFiles descriptors on a machine with memory bytes, for a process that accepts connections of up
// to peers other instances.
func NewShares(maxFiles int, memory int64, peers int) Shares {
	s := Shares{
		Files: min(fileDescriptors, maxFiles/filePart), Process: processDescriptors, Store: min(storeDescriptors, maxFiles/filePart),
		Readiness: min(maxInternal, max(2, maxFiles/internalPart)), Metrics: min(maxInternal, max(2, maxFiles/internalPart)), Peers: peers,
	}
	rest := max(2, maxFiles-s.Files-s.Process-s.Store-s.Readiness-s.Metrics-s.Peers)
	s.Callers = rest * callerPart / callerWhole
	s.Backends = rest - s.Callers
	if most := int(memory / connectionMemoryPart / ConnectionMemory); memory > 0 && s.Callers > most {
		s.Callers = max(1, most) // the descriptors that are left over remain unused
	}
	return s
}

// Total returns the sum of all shares.
func (s Shares) Total() int {
	return s.Files + s.Process + s.Store + s.Readiness + s.Metrics + s.Peers + s.Callers + s.Backends
}

package upstream

import "slices"

// Sends records which connections carried the sends of one request. A connection carries a request only once:
// a second copy of the response to the first send could not be told from the response to another. Sends is not
// safe for concurrent use.
type Sends struct {
	connections []uint64
	last        Send
}

// Send tells which connection carried a request, and how many requests the connection has carried with it.
type Send struct {
	Connection uint64
	Use        int
}

// Last returns the last send. It is zero if no connection was available for it.
func (s *Sends) Last() Send { return s.last }

// reset forgets the last send.
func (s *Sends) reset() {
	if s != nil {
		s.last = Send{}
	}
}

// carriedBy reports whether the connection has carried the request.
func (s *Sends) carriedBy(c *conn) bool {
	return s != nil && slices.Contains(s.connections, c.number)
}

func (s *Sends) add(c *conn) {
	if s != nil {
		s.connections = append(s.connections, c.number)
		s.last = Send{c.number, c.uses}
	}
}

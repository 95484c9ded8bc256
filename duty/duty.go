// Package duty sends the calls to the platform that one instance at a time may make.
//
// The platform accepts such a call only from the instance that holds the lease, which it names together with its
// fencing token. The client therefore checks the authority when the connection is open, directly before it writes the
// call, and resets the connection if no answer comes, so that the operating system does not deliver the call after
// another instance has taken over.
package duty

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/upstream"
)

// Kind is a kind of duty, in the words of the settings.
type Kind string

// Kinds of duties.
const (
	Usage Kind = "usage" // reports the requests of each client account
	Scale Kind = "scale" // orders the number of backend servers
)

// Translator translates the installation's names of duties.
type Translator interface {
	// DutyKind returns the duty with a name of the installation. ok is false if there is none.
	DutyKind(name string) (kind Kind, ok bool)
}

// ParseKinds returns the duties in a comma-separated list. Names may be those of the settings or of the installation;
// brackets and quotation marks of a JSON list are ignored. Unknown names are an error, and the others are returned.
func ParseKinds(list string, t Translator) (map[Kind]bool, error) {
	kinds := make(map[Kind]bool)
	var errs []error
	separator := func(r rune) bool { return strings.ContainsRune(",[]\"' \t", r) }
	for _, name := range strings.FieldsFunc(list, separator) {
		switch kind, ok := t.DutyKind(name); {
		case ok:
			kinds[kind] = true
		case Kind(name) == Usage, Kind(name) == Scale:
			kinds[Kind(name)] = true
		default:
			errs = append(errs, fmt.Errorf("unknown duty %q", name))
		}
	}
	return kinds, errors.Join(errs...)
}

// UsageReport is the number of requests of each client account that began to run in a window.
type UsageReport struct {
	Window int64
	Counts map[string]int64
}

// ScaleOrder sets the number of backend servers of a service in a data centre.
type ScaleOrder struct {
	Service, DataCentre string
	Count               int
}

// Call is an encoded call to the platform.
type Call struct {
	Method, Path string
	Header       http.Header
	Body         []byte
}

// Encoder encodes the calls. holder and fence are those of the authority under which the call is made.
type Encoder interface {
	UsageCall(r *UsageReport, holder string, fence uint64) (*Call, error)
	ScaleCall(o *ScaleOrder, holder string, fence uint64) (*Call, error)
}

// Outcome is what is known of a call.
type Outcome int

// Outcomes of calls.
const (
	NotSent  Outcome = iota // no byte was sent: no authority, no connection, or the context ended before
	Accepted                // status 200
	Busy                    // status 429: the platform accepts no more calls at the moment
	Refused                 // any other status
	Unknown                 // the call was sent, at least in part, and no answer was read; it may be carried out
)

func (o Outcome) String() string {
	return [...]string{"not_sent", "accepted", "busy", "refused", "unknown"}[o]
}

// Result is the result of a call.
type Result struct {
	Outcome Outcome
	// Status is the status of the answer; 0 if there is none.
	Status int
	// Err is the reason of NotSent and Unknown.
	Err error
}

// ErrNoAuthority means that the authority had ended before the call was sent.
var ErrNoAuthority = errors.New("no authority")

const (
	// CallTimeout limits one call from the dial to the answer's head. A new holder of the lease waits for the lease's
	// time to live and this time before its first call.
	CallTimeout = time.Second
	// userTimeout limits how long sent bytes may stay unacknowledged. Other than CallTimeout it also ends the
	// transmission while the process is stopped.
	userTimeout = time.Second
	// rateShare is the share of the permitted rate that is used. The rest leaves room for the calls of an earlier
	// holder, and for the difference between the clocks.
	rateShare = 0.5
)

// Client sends calls, one at a time. It is safe for concurrent use.
type Client struct {
	address string
	pool    *upstream.Pool
	limiter *rate.Limiter
	turn    chan struct{}
}

// NewClient returns a client for the platform at an address, which accepts perSecond calls per second from all
// instances together. dial opens connections; nil opens TCP connections.
func NewClient(address string, perSecond float64, dial upstream.DialFunc) *Client {
	if dial == nil {
		dialer := &net.Dialer{Timeout: CallTimeout, Control: upstream.UserTimeout(userTimeout), KeepAliveConfig: net.KeepAliveConfig{Enable: false}}
		dial = dialer.DialContext
	}
	return &Client{
		address: address, pool: upstream.NewPoolWithDial(withReset(dial)), turn: make(chan struct{}, 1),
		limiter: rate.NewLimiter(rate.Limit(rateShare*perSecond), 1),
	}
}

// withReset makes the close of a connection discard what was not delivered yet and reset it, also if the process ends.
func withReset(dial upstream.DialFunc) upstream.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
			if err := t.SetLinger(0); err != nil {
				_ = c.Close()
				return nil, fmt.Errorf("set the connection to reset on close: %w", err)
			}
		}
		return c, nil
	}
}

// Do waits for its turn and for the rate, and sends a call once unless the authority has ended. It neither follows
// redirects nor repeats the call.
func (c *Client) Do(ctx context.Context, a lease.Authority, call *Call) Result {
	select {
	case c.turn <- struct{}{}:
		defer func() { <-c.turn }()
	case <-ctx.Done():
		return Result{Err: ctx.Err()}
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return Result{Err: err}
	}
	if !a.Valid() {
		return Result{Err: ErrNoAuthority}
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	// A call that was not sent leaves its connection idle.
	defer c.pool.CloseIdle(c.address)
	req := &upstream.Request{
		Method: call.Method, Target: call.Path, Host: c.address, Header: call.Header, Body: call.Body, NewConnection: true,
		Check: func() error {
			if a.Valid() {
				return nil
			}
			return ErrNoAuthority
		},
	}
	resp, err := c.pool.Do(ctx, c.address, req, func(*http.Response, bool) bool { return true })
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return Result{Err: err}
	case err != nil:
		return Result{Outcome: Unknown, Err: err}
	}
	resp.DiscardConnection()
	defer resp.Close(c.pool)
	switch resp.StatusCode {
	case http.StatusOK:
		return Result{Outcome: Accepted, Status: resp.StatusCode}
	case http.StatusTooManyRequests:
		return Result{Outcome: Busy, Status: resp.StatusCode}
	}
	return Result{Outcome: Refused, Status: resp.StatusCode}
}

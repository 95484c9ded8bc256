// Package rpc builds the HTTP/2 servers and clients for calls between the processes of a cluster.
package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/traffic"
)

const (
	// maxConcurrentStreams applies per connection. An entry has one connection to each sidecar, so it also
	// limits the concurrent calls from one entry to one sidecar.
	maxConcurrentStreams = 4096
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	dialTimeout          = 1 * time.Second
	// pingInterval and pingTimeout detect an unreachable peer while a stream is idle.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	// MaxMessageBytes limits one received message.
	MaxMessageBytes = 8 << 20
	// compressMinBytes is larger than responses to probes and to polls without changes. For such small
	// messages, gzip takes more CPU time than the rest of the call.
	compressMinBytes = 1 << 10
	gzipCompression  = "gzip"
)

// NewServer returns a server for cleartext HTTP/2 and HTTP/1.
func NewServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}
}

// Serve serves the connections that l accepts, with TLS if c is not nil.
func Serve(srv *http.Server, l net.Listener, c *tls.Config) error {
	if c == nil {
		return srv.Serve(l)
	}
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	srv.Protocols, srv.TLSConfig = &p, c
	return srv.ServeTLS(l, "", "")
}

// WorkerOptions returns the options of the handler of WorkerService. They disable compression: frames
// carry a few tokens each, and compressing them would take 62% of a sidecar's CPU time.
func WorkerOptions(interceptors ...connect.Interceptor) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression(gzipCompression, nil, nil),
		connect.WithInterceptors(interceptors...),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

// PeerOptions returns the options of the handler of PeerService. They enable compression of large
// messages, such as documents.
func PeerOptions(interceptors ...connect.Interceptor) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithInterceptors(interceptors...),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

// Clients caches one client per address and service. It is safe for concurrent use.
type Clients struct {
	http    *http.Client
	scheme  string
	options []connect.ClientOption

	mu      sync.RWMutex
	workers map[string]quetzallugv1connect.WorkerServiceClient
	peers   map[string]quetzallugv1connect.PeerServiceClient
	usage   map[string]quetzallugv1connect.UsageServiceClient
}

// ClientConfig configures Clients.
type ClientConfig struct {
	// ControlTraffic, if not nil, counts the bytes of the connections. It also disables pings and TCP
	// keep-alives, so set it only for clients whose calls all have a short timeout: other clients need
	// pings to detect an unreachable peer while a stream is idle. Pings on idle connections to 640
	// sidecars take 5 KB/s, more than all other control traffic of an entry. Idle connections stay open,
	// because a new one costs four times the bytes of a probe.
	ControlTraffic *traffic.Counter
	// TLS is the TLS configuration, or nil for cleartext.
	TLS          *tls.Config
	Interceptors []connect.Interceptor
	// Dial replaces the TCP dialer, for in-memory networks in tests. An error that wraps a net.OpError
	// with operation "dial" means that nothing was sent.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewClients returns clients that share connections with each other, but not with other Clients.
func NewClients(cfg ClientConfig) *Clients {
	http2Config, dialer := &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout}, &net.Dialer{Timeout: dialTimeout}
	if cfg.ControlTraffic != nil {
		http2Config, dialer.KeepAlive = nil, -1
	}
	var p http.Protocols
	scheme := "http://"
	if cfg.TLS != nil {
		p.SetHTTP2(true)
		scheme = "https://"
	} else {
		p.SetUnencryptedHTTP2(true)
	}
	dial := cfg.Dial
	if dial == nil {
		dial = dialer.DialContext
	}
	transport := &http.Transport{
		Protocols:       &p,
		TLSClientConfig: cfg.TLS,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return traffic.Conn(conn, cfg.ControlTraffic), nil
		},
		IdleConnTimeout: idleTimeout,
		HTTP2:           http2Config,
	}
	return &Clients{
		http:   &http.Client{Transport: transport},
		scheme: scheme,
		options: []connect.ClientOption{
			connect.WithGRPC(),
			connect.WithInterceptors(cfg.Interceptors...),
			connect.WithReadMaxBytes(MaxMessageBytes),
		},
		workers: map[string]quetzallugv1connect.WorkerServiceClient{},
		peers:   map[string]quetzallugv1connect.PeerServiceClient{},
		usage:   map[string]quetzallugv1connect.UsageServiceClient{},
	}
}

// Worker returns the client for the sidecar at an address such as 127.0.0.1:8000.
func (c *Clients) Worker(address string) quetzallugv1connect.WorkerServiceClient {
	return getOrCreate(c, c.workers, address, func() quetzallugv1connect.WorkerServiceClient {
		return quetzallugv1connect.NewWorkerServiceClient(c.http, c.scheme+address, c.options...)
	})
}

// Peer returns the client for the entry at a peer address.
func (c *Clients) Peer(address string) quetzallugv1connect.PeerServiceClient {
	return getOrCreate(c, c.peers, address, func() quetzallugv1connect.PeerServiceClient {
		return quetzallugv1connect.NewPeerServiceClient(c.http, c.scheme+address, c.options...)
	})
}

// Usage returns the client for the gateway at a peer address.
func (c *Clients) Usage(address string) quetzallugv1connect.UsageServiceClient {
	return getOrCreate(c, c.usage, address, func() quetzallugv1connect.UsageServiceClient {
		return quetzallugv1connect.NewUsageServiceClient(c.http, c.scheme+address, c.options...)
	})
}

// Close closes idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// getOrCreate returns the client for an address, and creates it on first use.
func getOrCreate[T any](c *Clients, m map[string]T, address string, create func() T) T {
	c.mu.RLock()
	v, ok := m[address]
	c.mu.RUnlock()
	if ok {
		return v
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := m[address]; ok {
		return v
	}
	v = create()
	m[address] = v
	return v
}

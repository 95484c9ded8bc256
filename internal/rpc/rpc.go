// Package rpc builds the HTTP/2 servers and clients between the system's own processes.
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
	// maxConcurrentStreams is per connection; an entry has one connection to a sidecar.
	maxConcurrentStreams = 4096
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	dialTimeout          = 1 * time.Second
	// pingInterval and pingTimeout detect a peer that is cut off while a stream is silent.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 8 << 20
	// compressMinBytes is above the size of answers to probes and polls without news. Below it, gzip
	// costs more processor time than all other work of such a call.
	compressMinBytes = 1 << 10
	compression      = "gzip"
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

// Serve serves connections of l, over TLS if a configuration is given.
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

// WorkerOptions are the options of the handler of WorkerService. Its frames carry a few tokens each;
// compressing them took 62% of a sidecar's processor time.
func WorkerOptions(interceptors ...connect.Interceptor) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression(compression, nil, nil),
		connect.WithInterceptors(interceptors...),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

// PeerOptions are the options of the handler of PeerService, which compresses documents.
func PeerOptions(interceptors ...connect.Interceptor) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithInterceptors(interceptors...),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

// Clients holds one client per address and kind of service.
type Clients struct {
	http    *http.Client
	scheme  string
	options []connect.ClientOption

	mu      sync.RWMutex
	workers map[string]quetzallugv1connect.WorkerServiceClient
	peers   map[string]quetzallugv1connect.PeerServiceClient
}

// ClientConfig configures Clients.
type ClientConfig struct {
	// Control is for calls that have a short timeout of their own, whose bytes it counts. These
	// clients send no pings and no TCP keep-alives: on an idle connection to each of 640 sidecars,
	// pings alone take 5 KB/s, more than all other control traffic of an entry. The connections
	// stay open, because a new one costs four times the bytes of a probe. Control is nil for
	// answers, whose connections detect a peer that is cut off while a stream is silent.
	Control *traffic.Counter
	// TLS is nil for cleartext.
	TLS          *tls.Config
	Interceptors []connect.Interceptor
	// Dial replaces the TCP dialer, for networks in memory. An error that wraps a net.OpError of
	// operation "dial" means that nothing was sent.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewClients returns clients with connections of their own.
func NewClients(cfg ClientConfig) *Clients {
	pings, dialer := &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout}, &net.Dialer{Timeout: dialTimeout}
	if cfg.Control != nil {
		pings, dialer.KeepAlive = nil, -1
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
			return traffic.Conn(conn, cfg.Control), nil
		},
		IdleConnTimeout: idleTimeout,
		HTTP2:           pings,
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
	}
}

// Worker returns the client of the sidecar at an address, such as 127.0.0.1:8000.
func (c *Clients) Worker(address string) quetzallugv1connect.WorkerServiceClient {
	return lookup(c, c.workers, address, func() quetzallugv1connect.WorkerServiceClient {
		return quetzallugv1connect.NewWorkerServiceClient(c.http, c.scheme+address, c.options...)
	})
}

// Peer returns the client of the entry at a peer address.
func (c *Clients) Peer(address string) quetzallugv1connect.PeerServiceClient {
	return lookup(c, c.peers, address, func() quetzallugv1connect.PeerServiceClient {
		return quetzallugv1connect.NewPeerServiceClient(c.http, c.scheme+address, c.options...)
	})
}

// Close closes idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

func lookup[T any](c *Clients, m map[string]T, address string, create func() T) T {
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

package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	quetzallugv1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/peerauth"
	"github.com/quetzallug/quetzallug/internal/rpc"
)

// connectPeers returns RPC clients that authenticate with the cluster's shared key.
func (a *app) connectPeers() (*rpc.Clients, error) {
	tlsConfig, err := rpc.TLSFiles{
		Cert: a.v.GetString(settingTLSCert), Key: a.v.GetString(settingTLSKey), CA: a.v.GetString(settingTLSCA),
	}.Load()
	if err != nil {
		return nil, &usageError{err}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	auth := peerauth.NewInterceptor(peerauth.Credentials{Cluster: a.cluster(), Key: a.v.GetString(settingKey)}, log)
	return rpc.NewClients(rpc.ClientConfig{TLS: tlsConfig, Interceptors: []connect.Interceptor{auth}}), nil
}

func (a *app) cluster() string { return a.v.GetString(settingCluster) }

// reply is the response of one entry or gateway.
type reply[T any] struct {
	address string
	value   T
	err     error
}

// queryAll calls all addresses concurrently and returns the successful responses. Failures are printed, with
// peerKind and the address. It returns an error only if every call fails.
func queryAll[T any](a *app, peerKind string, addresses []string, call func(address string) (T, error)) ([]reply[T], error) {
	responses := make([]reply[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			v, err := call(address)
			responses[i] = reply[T]{address, v, err}
		})
	}
	wg.Wait()
	var succeeded []reply[T]
	var failures []error
	for _, r := range responses {
		if r.err != nil {
			failures = append(failures, fmt.Errorf("%s %s: %w", peerKind, r.address, r.err))
			continue
		}
		succeeded = append(succeeded, r)
	}
	if len(succeeded) == 0 {
		return nil, errors.Join(failures...)
	}
	for _, err := range failures {
		a.noticef("%v", err)
	}
	return succeeded, nil
}

// queryEntries calls all entries concurrently.
func queryEntries[T any](a *app, ctx context.Context, call func(context.Context, quetzallugv1connect.PeerServiceClient) (T, error)) ([]reply[T], error) {
	addresses, err := a.entries()
	if err != nil {
		return nil, err
	}
	clients, err := a.connectPeers()
	if err != nil {
		return nil, err
	}
	defer clients.Close()
	return queryAll(a, "entry", addresses, func(address string) (T, error) { return call(ctx, clients.Peer(address)) })
}

func (a *app) queryStatus(ctx context.Context) ([]reply[*quetzallugv1.StatusResponse], error) {
	return queryEntries(a, ctx, func(ctx context.Context, c quetzallugv1connect.PeerServiceClient) (*quetzallugv1.StatusResponse, error) {
		r, err := c.Status(ctx, connect.NewRequest(&quetzallugv1.StatusRequest{Cluster: a.cluster()}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
}

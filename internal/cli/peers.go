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

// newPeerClients returns RPC clients that authenticate with the cluster's shared key.
func (a *app) newPeerClients() (*rpc.Clients, error) {
	tlsConfig, err := rpc.TLSFiles{
		Cert: a.settings.GetString(settingTLSCert), Key: a.settings.GetString(settingTLSKey), CA: a.settings.GetString(settingTLSCA),
	}.Load()
	if err != nil {
		return nil, &usageError{err}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	auth := peerauth.NewInterceptor(peerauth.Credentials{Cluster: a.cluster(), Key: a.settings.GetString(settingKey)}, log)
	return rpc.NewClients(rpc.ClientConfig{TLS: tlsConfig, Interceptors: []connect.Interceptor{auth}}), nil
}

func (a *app) cluster() string { return a.settings.GetString(settingCluster) }

// response is the result of a call to one entry or gateway. value is unset if err is not nil.
type response[T any] struct {
	address string
	value   T
	err     error
}

// queryAll calls all addresses concurrently and returns the successful responses. If some calls fail, it prints
// their errors; if all fail, it returns the joined errors. Each error names peerKind and the address.
func queryAll[T any](a *app, peerKind string, addresses []string, call func(address string) (T, error)) ([]response[T], error) {
	responses := make([]response[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			v, err := call(address)
			responses[i] = response[T]{address, v, err}
		})
	}
	wg.Wait()
	var succeeded []response[T]
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
func queryEntries[T any](a *app, ctx context.Context, call func(context.Context, quetzallugv1connect.PeerServiceClient) (T, error)) ([]response[T], error) {
	addresses, err := a.entries()
	if err != nil {
		return nil, err
	}
	clients, err := a.newPeerClients()
	if err != nil {
		return nil, err
	}
	defer clients.Close()
	return queryAll(a, "entry", addresses, func(address string) (T, error) { return call(ctx, clients.Peer(address)) })
}

func (a *app) queryStatus(ctx context.Context) ([]response[*quetzallugv1.StatusResponse], error) {
	return queryEntries(a, ctx, func(ctx context.Context, c quetzallugv1connect.PeerServiceClient) (*quetzallugv1.StatusResponse, error) {
		r, err := c.Status(ctx, connect.NewRequest(&quetzallugv1.StatusRequest{Cluster: a.cluster()}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
}

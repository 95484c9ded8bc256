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

// connectPeers returns clients that identify the tool to the cluster's processes.
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

// answer is what one entry or gateway answered.
type answer[T any] struct {
	address string
	value   T
	err     error
}

// askAll asks all addresses at once. Those that fail are noted as "what address"; it returns an error only
// if all fail.
func askAll[T any](a *app, what string, addresses []string, call func(address string) (T, error)) ([]answer[T], error) {
	answers := make([]answer[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			v, err := call(address)
			answers[i] = answer[T]{address, v, err}
		})
	}
	wg.Wait()
	var good []answer[T]
	var failures []error
	for _, an := range answers {
		if an.err != nil {
			failures = append(failures, fmt.Errorf("%s %s: %w", what, an.address, an.err))
			continue
		}
		good = append(good, an)
	}
	if len(good) == 0 {
		return nil, errors.Join(failures...)
	}
	for _, err := range failures {
		a.note("%v", err)
	}
	return good, nil
}

// askEntries calls all entries at once.
func askEntries[T any](a *app, ctx context.Context, call func(context.Context, quetzallugv1connect.PeerServiceClient) (T, error)) ([]answer[T], error) {
	addresses, err := a.entries()
	if err != nil {
		return nil, err
	}
	clients, err := a.connectPeers()
	if err != nil {
		return nil, err
	}
	defer clients.Close()
	return askAll(a, "entry", addresses, func(address string) (T, error) { return call(ctx, clients.Peer(address)) })
}

func (a *app) askStatus(ctx context.Context) ([]answer[*quetzallugv1.StatusResponse], error) {
	return askEntries(a, ctx, func(ctx context.Context, c quetzallugv1connect.PeerServiceClient) (*quetzallugv1.StatusResponse, error) {
		r, err := c.Status(ctx, connect.NewRequest(&quetzallugv1.StatusRequest{Cluster: a.cluster()}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
}

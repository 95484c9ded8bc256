package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"connectrpc.com/connect"

	quetzallugv1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
)

// KeyHeader carries the shared key of the peers.
const KeyHeader = "X-Quetzallug-Key"

// maxPeerResponseBytes bounds a response, so that a wrong address cannot fill the memory.
const maxPeerResponseBytes = 64 << 20

func (a *app) clientOptions() []connect.ClientOption {
	key := a.v.GetString(settingKey)
	return []connect.ClientOption{
		connect.WithReadMaxBytes(maxPeerResponseBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
				if key != "" {
					r.Header().Set(KeyHeader, key)
				}
				return next(ctx, r)
			}
		})),
	}
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

func (a *app) peer(address string) quetzallugv1connect.PeerServiceClient {
	return quetzallugv1connect.NewPeerServiceClient(http.DefaultClient, baseURL(address), a.clientOptions()...)
}

func (a *app) worker(address string) quetzallugv1connect.WorkerServiceClient {
	return quetzallugv1connect.NewWorkerServiceClient(http.DefaultClient, baseURL(address), a.clientOptions()...)
}

func (a *app) cluster() string { return a.v.GetString(settingCluster) }

// answer is what one entry answered.
type answer[T any] struct {
	address string
	value   T
	err     error
}

// askEntries calls all entries at once. Entries that fail are noted; it returns an error only
// if all fail.
func askEntries[T any](a *app, ctx context.Context, call func(context.Context, quetzallugv1connect.PeerServiceClient) (T, error)) ([]answer[T], error) {
	addresses, err := a.entries()
	if err != nil {
		return nil, err
	}
	answers := make([]answer[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			v, err := call(ctx, a.peer(address))
			answers[i] = answer[T]{address, v, err}
		})
	}
	wg.Wait()
	var good []answer[T]
	var failures []error
	for _, an := range answers {
		if an.err != nil {
			failures = append(failures, fmt.Errorf("entry %s: %w", an.address, an.err))
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

func (a *app) askStatus(ctx context.Context) ([]answer[*quetzallugv1.StatusResponse], error) {
	return askEntries(a, ctx, func(ctx context.Context, c quetzallugv1connect.PeerServiceClient) (*quetzallugv1.StatusResponse, error) {
		r, err := c.Status(ctx, connect.NewRequest(&quetzallugv1.StatusRequest{Cluster: a.cluster()}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
}

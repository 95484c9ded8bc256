package cli

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	quetzallugv1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// drainPollInterval is the time between two requests of drain --wait.
const drainPollInterval = 500 * time.Millisecond

type drainView struct {
	Instance string `json:"instance"`
	Draining bool   `json:"draining"`
	InFlight uint32 `json:"in_flight"`
}

type drainFlags struct{ undo, wait bool }

func (a *app) drainCommand() *cobra.Command {
	var f drainFlags
	cmd := &cobra.Command{
		Use:   "drain INSTANCE",
		Short: "Stop new requests to a backend server and let those in flight complete",
		Long: `drain tells the sidecar of a backend server to refuse new requests and reports the number of
requests in flight. It does not interrupt requests and may be repeated. With --undo the backend
server takes requests again. With --wait drain waits until no request is in flight, up to --timeout.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.undo && f.wait {
				return usagef("--undo and --wait cannot be used together")
			}
			ctx, cancel := a.withTimeout(cmd.Context())
			defer cancel()
			return a.drain(ctx, args[0], f)
		},
	}
	cmd.Flags().BoolVar(&f.undo, "undo", false, "end the drain")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until no request is in flight")
	return cmd
}

func (a *app) drain(ctx context.Context, instance string, f drainFlags) error {
	address, err := a.sidecarAddress(ctx, instance)
	if err != nil {
		return err
	}
	clients, err := a.newPeerClients()
	if err != nil {
		return err
	}
	defer clients.Close()
	for {
		r, err := clients.Worker(address).Drain(ctx, connect.NewRequest(&quetzallugv1.DrainRequest{
			Cluster: a.cluster(), Instance: instance, Undo: f.undo,
		}))
		if err != nil {
			return drainError(instance, address, err)
		}
		v := drainView{instance, r.Msg.GetDraining(), r.Msg.GetInFlight()}
		if !f.wait || v.InFlight == 0 {
			t := &table{header: []string{"INSTANCE", "DRAINING", "IN FLIGHT"}}
			t.add(v.Instance, strconv.FormatBool(v.Draining), formatUint32(v.InFlight))
			return a.emit(v, t)
		}
		a.noticef("%s: %d requests in flight", instance, v.InFlight)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is draining and still has %d requests in flight; repeat the command to wait longer", instance, v.InFlight)
		case <-time.After(drainPollInterval):
		}
	}
}

// drainError wraps an error of a Drain call. The result is an outcomeUnknownError if the request may have
// reached the sidecar, so that the drain may have taken effect.
func drainError(instance, address string, err error) error {
	wrapped := fmt.Errorf("drain of %s at %s: %w", instance, address, err)
	if noResponse(err) && !dialFailed(err) {
		return &outcomeUnknownError{wrapped}
	}
	return wrapped
}

// sidecarAddress asks all entries for their backend servers and returns the address of the sidecar of the named one.
func (a *app) sidecarAddress(ctx context.Context, instance string) (string, error) {
	responses, err := a.queryStatus(ctx)
	if err != nil {
		return "", err
	}
	for _, r := range responses {
		for _, w := range r.value.GetWorkers() {
			if w.GetInstance() == instance && w.GetAddress() != "" {
				return w.GetAddress(), nil
			}
		}
	}
	return "", errors.New("no entry knows backend server " + strconv.Quote(instance) + "; see 'quetzallug engines'")
}

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

// drainPoll is the time between two questions while drain waits.
const drainPoll = 500 * time.Millisecond

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
		Short: "Give a worker no new requests and let those in flight finish",
		Long: `drain tells the sidecar of a worker to refuse new requests and reports the number of requests in
flight. It interrupts no request and may be repeated. --undo lets the worker take requests again.
--wait waits until no request is in flight, for at most --timeout.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.undo && f.wait {
				return usagef("--undo and --wait exclude each other")
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
	address, err := a.findWorker(ctx, instance)
	if err != nil {
		return err
	}
	clients, err := a.connectPeers()
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
			t.add(v.Instance, strconv.FormatBool(v.Draining), decimal(v.InFlight))
			return a.emit(v, t)
		}
		a.note("%s: %d requests in flight", instance, v.InFlight)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is draining and still has %d requests in flight; run the command again to wait longer", instance, v.InFlight)
		case <-time.After(drainPoll):
		}
	}
}

// drainError tells a drain that never reached the sidecar from one whose response was lost.
func drainError(instance, address string, err error) error {
	wrapped := fmt.Errorf("drain of %s at %s: %w", instance, address, err)
	if unreachable(err) && !notSent(err) {
		return &unknownError{wrapped}
	}
	return wrapped
}

// findWorker looks up the sidecar's address in the membership of the entries.
func (a *app) findWorker(ctx context.Context, instance string) (string, error) {
	answers, err := a.askStatus(ctx)
	if err != nil {
		return "", err
	}
	for _, an := range answers {
		for _, w := range an.value.GetWorkers() {
			if w.GetInstance() == instance && w.GetAddress() != "" {
				return w.GetAddress(), nil
			}
		}
	}
	return "", errors.New("none of the entries knows worker " + strconv.Quote(instance) + "; see 'quetzallug engines'")
}

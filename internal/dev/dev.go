// Package dev runs the entry and sidecars of an example deployment and stand-ins for its backend
// servers and the platform in one process, so that the system can be tried without any set-up.
package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/examples"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/app"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
	"github.com/quetzallug/quetzallug/standin/instances"
	"github.com/quetzallug/quetzallug/standin/kv"
	"github.com/quetzallug/quetzallug/standin/weights"
)

const (
	// Key is the shared key of the processes within dev, which listen on loopback only.
	Key = "dev"
	// registrationTTL is longer than any run of dev, because registrations are not renewed.
	registrationTTL = 365 * 24 * time.Hour
	// weightBytesPerSecond is the rate of the weights stand-in, and orderTime the duration of an engine's
	// order. With both, an engine loads its first model in about a second.
	weightBytesPerSecond = 256 << 30
	orderTime            = 500 * time.Millisecond
	kvWritesPerSecond    = 500
	kvReadsPerSecond     = 2000
)

// Config configures a run.
type Config struct {
	// Example is the name of a deployment in package examples.
	Example string
	// Entry and Sidecar are the settings of the entry and of each sidecar. Start replaces their identity,
	// key and the addresses of the stand-ins.
	Entry   settings.Entry
	Sidecar settings.Sidecar
	// Log is the logger of the entry, SidecarLog the logger of the sidecars.
	Log, SidecarLog *logrus.Logger
}

// Deployment is a running example deployment.
type Deployment struct {
	cfg          Config
	store        *kv.Store
	instanceList *instances.List
	apps         []*fx.App
	servers      []*http.Server
	closers      []func() error
	services     []*document.Service
}

// Start applies the example's documents, then starts the stand-ins, the sidecars and the entry.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	d := &Deployment{
		cfg:          cfg,
		store:        kv.NewStore(kv.Limits{Writes: kvWritesPerSecond, Reads: kvReadsPerSecond}),
		instanceList: instances.New(0),
	}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Stop(ctx))
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if err = d.applyDocuments(ctx); err != nil {
		return err
	}
	common := &d.cfg.Entry.Common
	if common.KVAddress, err = d.serveStandin(ctx, d.store.Handler()); err != nil {
		return err
	}
	if common.InstancesAddress, err = d.serveStandin(ctx, d.instanceList.Handler()); err != nil {
		return err
	}
	weightsAddress, err := d.serveStandin(ctx, weights.New(weightBytesPerSecond).Handler())
	if err != nil {
		return err
	}
	for _, s := range d.services {
		for _, p := range s.Pools {
			for i := range p.Workers {
				if err := d.startWorker(ctx, s, p, i, weightsAddress); err != nil {
					return err
				}
			}
		}
	}
	return d.startEntry(ctx)
}

func (d *Deployment) applyDocuments(ctx context.Context) error {
	files, err := examples.Files.ReadDir(d.cfg.Example)
	if err != nil {
		return eris.Wrapf(err, "example %q", d.cfg.Example)
	}
	for _, f := range files {
		body, err := examples.Files.ReadFile(path.Join(d.cfg.Example, f.Name()))
		if err != nil {
			return eris.Wrap(err, "read example")
		}
		name := strings.TrimSuffix(f.Name(), path.Ext(f.Name()))
		if _, err := registry.Apply(ctx, d.store, name, 0, body, "dev"); err != nil {
			return eris.Wrapf(err, "apply %s", f.Name())
		}
		s, err := document.Parse(body)
		if err != nil {
			return eris.Wrapf(err, "parse %s", f.Name())
		}
		d.services = append(d.services, s)
	}
	return nil
}

// serveStandin serves a stand-in on a free loopback port and returns its URL.
func (d *Deployment) serveStandin(ctx context.Context, h http.Handler) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (d *Deployment) startWorker(ctx context.Context, s *document.Service, p document.Pool, i int, weightsAddress string) error {
	sidecar := d.cfg.Sidecar
	sidecar.Common = d.cfg.Entry.Common
	sidecar.Instance = fmt.Sprintf("%s-%s-%d", s.Service, p.DataCentre, i)
	sidecar.DataCentre, sidecar.Service, sidecar.Key = p.DataCentre, s.Service, Key
	sidecar.WeightsAddress = weightsAddress
	sidecar.Backend, sidecar.BackendModule = settings.BackendEngine, "engine.http"
	h := d.backendHandler(&sidecar, s, p, uint64(i+1))
	var err error
	if sidecar.BackendAddress, err = d.serveStandin(ctx, h); err != nil {
		return err
	}
	if sidecar.Listen, err = freeAddress(ctx); err != nil {
		return err
	}
	return d.startApp(ctx, app.Sidecar(&sidecar, d.cfg.SidecarLog), external.Instance{
		ID: sidecar.Instance, Role: external.RoleSidecar, Service: s.Service, DataCentre: p.DataCentre, Address: sidecar.Listen,
	})
}

// backendHandler returns the stand-in for a sidecar's backend server. For a plain service it also sets
// the sidecar's backend type.
func (d *Deployment) backendHandler(sidecar *settings.Sidecar, s *document.Service, p document.Pool, seed uint64) http.Handler {
	if s.Type == document.TypePlain {
		sidecar.Backend, sidecar.BackendModule = settings.BackendPlain, "backend.http"
		return backend.New(backend.Config{}).Handler()
	}
	e := engine.New(engine.Config{Name: sidecar.Instance, Seed: seed, CheckFence: p.ChecksFence, OrderTime: orderTime})
	d.closers = append(d.closers, e.Close)
	return e.Handler()
}

func (d *Deployment) startEntry(ctx context.Context) error {
	entry := d.cfg.Entry
	entry.Instance, entry.DataCentre, entry.Key = "entry-0", d.services[0].DataCentres[0], Key
	return d.startApp(ctx, app.Entry(&entry, d.cfg.Log), external.Instance{
		ID: entry.Instance, Role: external.RoleEntry, DataCentre: entry.DataCentre, Address: entry.PeerListen,
	})
}

// startApp registers an instance in the instance list and starts its role.
func (d *Deployment) startApp(ctx context.Context, a *fx.App, instance external.Instance) error {
	instance.State = external.InstanceLive
	d.instanceList.Register(instance, registrationTTL)
	if err := a.Err(); err != nil {
		return eris.Wrapf(err, "set up %s", instance.ID)
	}
	if err := a.Start(ctx); err != nil {
		return eris.Wrapf(err, "start %s", instance.ID)
	}
	d.apps = append(d.apps, a)
	return nil
}

// Stop stops the entry, then the sidecars, then the stand-ins.
func (d *Deployment) Stop(ctx context.Context) error {
	var errs []error
	if n := len(d.apps); n > 0 {
		errs = append(errs, d.apps[n-1].Stop(ctx))
		errs = append(errs, stopAll(ctx, d.apps[:n-1]))
	}
	for _, s := range d.servers {
		errs = append(errs, s.Close())
	}
	for _, c := range d.closers {
		errs = append(errs, c())
	}
	return errors.Join(errs...)
}

// KVAddress returns the URL of the stand-in for the key-value service.
func (d *Deployment) KVAddress() string { return d.cfg.Entry.KVAddress }

func stopAll(ctx context.Context, apps []*fx.App) error {
	var wg sync.WaitGroup
	errs := make([]error, len(apps))
	for i, a := range apps {
		wg.Go(func() { errs[i] = a.Stop(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Service returns the example's first model service, or nil if it has none.
func (d *Deployment) Service() *document.Service {
	for _, s := range d.services {
		if s.Type == document.TypeModel {
			return s
		}
	}
	return nil
}

// freeAddress returns a loopback address that no process listens on.
func freeAddress(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Package dev runs an entry, the sidecars of an example deployment and the platform's stand-ins
// in one process, so that a newcomer sees the whole path without any set-up.
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
	// registration outlives any run of dev.
	registration = 365 * 24 * time.Hour
	// weightRate and orderTime make the first loads of the engines take about a second.
	weightRate = 256 << 30
	orderTime  = 500 * time.Millisecond
	kvWrites   = 500
	kvReads    = 2000
)

// Config configures a run.
type Config struct {
	// Example is the name of a deployment in package examples.
	Example string
	// Defaults are the settings of the entry and of the sidecars before dev's own changes.
	Entry   settings.Entry
	Sidecar settings.Sidecar
	// Log is the entry's logger; SidecarLog that of the sidecars.
	Log, SidecarLog *logrus.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	cfg      Config
	store    *kv.Store
	list     *instances.List
	apps     []*fx.App
	servers  []*http.Server
	closers  []func() error
	services []*document.Service
}

// Start starts the stand-ins, accepts the example's documents and starts entry and sidecars.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	d := &Deployment{
		cfg:   cfg,
		store: kv.NewStore(kv.Limits{Writes: kvWrites, Reads: kvReads}),
		list:  instances.New(0),
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
	if common.KVAddress, err = d.listen(ctx, d.store.Handler()); err != nil {
		return err
	}
	if common.InstancesAddress, err = d.listen(ctx, d.list.Handler()); err != nil {
		return err
	}
	weightsAddress, err := d.listen(ctx, weights.New(weightRate).Handler())
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

// listen serves a stand-in on a free loopback port and returns its URL.
func (d *Deployment) listen(ctx context.Context, h http.Handler) (string, error) {
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
	set := d.cfg.Sidecar
	set.Common = d.cfg.Entry.Common
	set.Instance = fmt.Sprintf("%s-%s-%d", s.Service, p.DataCentre, i)
	set.DataCentre, set.Service, set.Key = p.DataCentre, s.Service, Key
	set.WeightsAddress = weightsAddress
	set.Backend, set.BackendModule = settings.BackendEngine, "engine.http"
	h := d.backend(&set, s, p, uint64(i+1))
	var err error
	if set.BackendAddress, err = d.listen(ctx, h); err != nil {
		return err
	}
	if set.Listen, err = freeAddress(ctx); err != nil {
		return err
	}
	return d.startApp(ctx, app.Sidecar(&set, d.cfg.SidecarLog), external.Instance{
		ID: set.Instance, Role: external.RoleSidecar, Service: s.Service, DataCentre: p.DataCentre, Address: set.Listen,
	})
}

// backend returns the stand-in of a worker's backend server.
func (d *Deployment) backend(set *settings.Sidecar, s *document.Service, p document.Pool, seed uint64) http.Handler {
	if s.Type == document.TypePlain {
		set.Backend, set.BackendModule = settings.BackendPlain, "backend.http"
		return backend.New(backend.Config{}).Handler()
	}
	e := engine.New(engine.Config{Name: set.Instance, Seed: seed, CheckFence: p.ChecksFence, OrderTime: orderTime})
	d.closers = append(d.closers, e.Close)
	return e.Handler()
}

func (d *Deployment) startEntry(ctx context.Context) error {
	set := d.cfg.Entry
	set.Instance, set.DataCentre, set.Key = "entry-0", d.services[0].DataCentres[0], Key
	return d.startApp(ctx, app.Entry(&set, d.cfg.Log), external.Instance{
		ID: set.Instance, Role: external.RoleEntry, DataCentre: set.DataCentre, Address: set.PeerListen,
	})
}

// startApp registers an instance and starts its role.
func (d *Deployment) startApp(ctx context.Context, a *fx.App, in external.Instance) error {
	in.State = external.InstanceLive
	d.list.Register(in, registration)
	if err := a.Err(); err != nil {
		return eris.Wrapf(err, "set up %s", in.ID)
	}
	if err := a.Start(ctx); err != nil {
		return eris.Wrapf(err, "start %s", in.ID)
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

// KVAddress returns the URL of the key-value service's stand-in.
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

// Service returns the example's first model service.
func (d *Deployment) Service() *document.Service {
	for _, s := range d.services {
		if s.Type == document.TypeModel {
			return s
		}
	}
	return nil
}

func freeAddress(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

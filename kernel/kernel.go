// Package kernel is the registry of plug-in modules. A module registers itself in an init
// function under a dotted ID, such as "platform.kv.http"; the daemon loads modules by the IDs
// in its settings.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// ErrUnknownModule means that no module is registered under an ID.
var ErrUnknownModule = errors.New("unknown module")

// ModuleInfo describes a module.
type ModuleInfo struct {
	// ID is dotted; its last part is the name and the rest is the namespace.
	ID string
	// New returns a new, unprovisioned value.
	New func() Module
}

// Module is a plug-in.
type Module interface {
	Module() ModuleInfo
}

// Provisioner prepares a module from its settings.
type Provisioner interface {
	Provision(ctx context.Context, s Settings) error
}

// Validator checks a provisioned module.
type Validator interface {
	Validate() error
}

// Cleaner releases what Provision acquired.
type Cleaner interface {
	Cleanup() error
}

// Settings are the values a module reads when it is provisioned, by name.
type Settings map[string]string

var (
	mu      sync.RWMutex
	modules = map[string]ModuleInfo{}
)

// Register adds a module to the registry. It panics on an empty or duplicate ID, which is a
// programming error found at start.
func Register(m Module) {
	info := m.Module()
	mu.Lock()
	defer mu.Unlock()
	if info.ID == "" || info.New == nil {
		panic("kernel: module without ID or constructor")
	}
	if _, ok := modules[info.ID]; ok {
		panic(fmt.Sprintf("kernel: module %q is registered twice", info.ID))
	}
	modules[info.ID] = info
}

// IDs returns the registered IDs in a namespace, sorted.
func IDs(namespace string) []string {
	mu.RLock()
	defer mu.RUnlock()
	var ids []string
	for id := range modules {
		if strings.HasPrefix(id, namespace+".") {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Load creates, provisions and validates the module with the given ID. A module that fails is
// cleaned up before Load returns.
func Load[T any](ctx context.Context, id string, s Settings) (T, error) {
	var zero T
	mu.RLock()
	info, ok := modules[id]
	mu.RUnlock()
	if !ok {
		return zero, fmt.Errorf("%w %q", ErrUnknownModule, id)
	}
	m := info.New()
	v, ok := m.(T)
	if !ok {
		return zero, fmt.Errorf("module %q has type %T, which does not provide the requested interface", id, m)
	}
	if err := prepare(ctx, m, s); err != nil {
		return zero, fmt.Errorf("module %q: %w", id, errors.Join(err, Cleanup(m)))
	}
	return v, nil
}

func prepare(ctx context.Context, m Module, s Settings) error {
	if p, ok := m.(Provisioner); ok {
		if err := p.Provision(ctx, s); err != nil {
			return fmt.Errorf("provision: %w", err)
		}
	}
	if v, ok := m.(Validator); ok {
		if err := v.Validate(); err != nil {
			return fmt.Errorf("validate: %w", err)
		}
	}
	return nil
}

// Cleanup releases a module if it has anything to release.
func Cleanup(m any) error {
	if c, ok := m.(Cleaner); ok {
		return c.Cleanup()
	}
	return nil
}

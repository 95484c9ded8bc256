// Package kernel is the registry of plug-in modules. A module registers itself in an init
// function under a dotted ID such as "platform.kv.http". A process loads the modules whose IDs are
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

// ErrUnknownModule means that no module with the requested ID is registered.
var ErrUnknownModule = errors.New("unknown module")

// ModuleInfo describes a module.
type ModuleInfo struct {
	// ID is a dotted name. The part after the last dot is the module's name, the part before it is
	// the namespace.
	ID string
	// New returns a new module that has not been provisioned.
	New func() Module
}

// Module is implemented by every plug-in. It may also implement Provisioner, Validator and Cleaner.
type Module interface {
	Module() ModuleInfo
}

// Provisioner is a module that is configured from settings when it is loaded.
type Provisioner interface {
	Provision(ctx context.Context, s Settings) error
}

// Validator is a module that checks its configuration after it has been provisioned.
type Validator interface {
	Validate() error
}

// Cleaner is a module that holds resources. Cleanup releases what Provision acquired.
type Cleaner interface {
	Cleanup() error
}

// Settings maps the names of a module's settings to their values.
type Settings map[string]string

var (
	mu      sync.RWMutex
	modules = map[string]ModuleInfo{}
)

// Register adds a module to the registry. It panics if the ID or constructor is missing or the ID is
// already registered. These are programming errors, which are detected when the process starts.
func Register(m Module) {
	info := m.Module()
	mu.Lock()
	defer mu.Unlock()
	if info.ID == "" || info.New == nil {
		panic("kernel: a module being registered has no ID or no constructor")
	}
	if _, ok := modules[info.ID]; ok {
		panic(fmt.Sprintf("kernel: module %q is registered twice", info.ID))
	}
	modules[info.ID] = info
}

// IDs returns the sorted IDs of the modules registered in a namespace and its sub-namespaces.
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

// Load creates, provisions and validates the module with the given ID and returns it as a T. If
// provisioning or validation fails, the module is cleaned up before Load returns.
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
		return zero, fmt.Errorf("module %q has type %T, which is not of the requested type", id, m)
	}
	if err := provisionAndValidate(ctx, m, s); err != nil {
		return zero, fmt.Errorf("module %q: %w", id, errors.Join(err, Cleanup(m)))
	}
	return v, nil
}

// provisionAndValidate calls Provision and Validate if the module implements them.
func provisionAndValidate(ctx context.Context, m Module, s Settings) error {
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

// Cleanup releases the resources of a module. It does nothing if m is not a Cleaner.
func Cleanup(m any) error {
	if c, ok := m.(Cleaner); ok {
		return c.Cleanup()
	}
	return nil
}

package core

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Service is a part of the process that other parts find by name.
type Service interface {
	// Name is unique in the process, for example "front" or "quorum/berth-ledger-1".
	Name() string
	// Run works until ctx ends and returns nil then. Any other end is an error.
	Run(ctx context.Context) error
}

// Dumper is a service that shows its state. The value is encoded as JSON.
type Dumper interface {
	Dump() any
}

// Registry is the registry of a process's services.
type Registry struct {
	mu       sync.RWMutex
	services map[string]Service
	order    []string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{services: make(map[string]Service)}
}

// Register adds a service. The name must be new.
func (k *Registry) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[s.Name()]; ok {
		return fmt.Errorf("service %q is registered twice", s.Name())
	}
	k.services[s.Name()] = s
	k.order = append(k.order, s.Name())
	return nil
}

// Find returns the service of the name as a T.
func Find[T any](k *Registry, name string) (T, error) {
	var zero T
	k.mu.RLock()
	s, ok := k.services[name]
	k.mu.RUnlock()
	if !ok {
		return zero, fmt.Errorf("service %q is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("service %q is a %T", name, s)
	}
	return t, nil
}

// serviceEnd is how a service's goroutine reports its end.
type serviceEnd struct {
	name string
	err  error
}

// Run starts all services and waits for all of them. The first failure stops the others.
func (k *Registry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.mu.RLock()
	names := append([]string(nil), k.order...)
	k.mu.RUnlock()
	ends := make(chan serviceEnd, len(names))
	for _, name := range names {
		go func(s Service) { ends <- serviceEnd{name: s.Name(), err: s.Run(ctx)} }(k.services[name])
	}
	var failures []error
	for range names {
		end := <-ends
		if end.err == nil || errors.Is(end.err, context.Canceled) {
			continue
		}
		failures = append(failures, fmt.Errorf("service %q: %w", end.name, end.err))
		cancel()
	}
	return errors.Join(failures...)
}

// Dump returns the state of each service that is a Dumper, by name.
func (k *Registry) Dump() map[string]any {
	k.mu.RLock()
	defer k.mu.RUnlock()
	dump := make(map[string]any, len(k.services))
	for name, s := range k.services {
		if d, ok := s.(Dumper); ok {
			dump[name] = d.Dump()
		}
	}
	return dump
}

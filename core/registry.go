package core

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Service is a long-running part of the process, which other parts can look up by name.
type Service interface {
	// Name is unique in the process, for example "front" or "quorum/berth-ledger-1".
	Name() string
	// Run blocks until ctx ends and then returns nil. If it stops earlier, it returns an error.
	Run(ctx context.Context) error
}

// Dumper is a service that exposes its state for diagnosis. The value is encoded as JSON.
type Dumper interface {
	Dump() any
}

// Registry holds and runs the services of a process.
type Registry struct {
	mu       sync.RWMutex
	services map[string]Service
	order    []string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{services: make(map[string]Service)}
}

// Register adds a service. It returns an error if the name is already taken.
func (r *Registry) Register(s Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.services[s.Name()]; ok {
		return fmt.Errorf("service %q is registered twice", s.Name())
	}
	r.services[s.Name()] = s
	r.order = append(r.order, s.Name())
	return nil
}

// Find returns the service with the name as a T. It returns an error if there is no such service or
// it is not a T.
func Find[T any](r *Registry, name string) (T, error) {
	var zero T
	r.mu.RLock()
	s, ok := r.services[name]
	r.mu.RUnlock()
	if !ok {
		return zero, fmt.Errorf("service %q is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("service %q is a %T", name, s)
	}
	return t, nil
}

type serviceExit struct {
	name string
	err  error
}

// Run starts all services and waits until all have stopped. The first failure stops the others.
func (r *Registry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.RLock()
	names := append([]string(nil), r.order...)
	r.mu.RUnlock()
	exits := make(chan serviceExit, len(names))
	for _, name := range names {
		go func(s Service) { exits <- serviceExit{name: s.Name(), err: s.Run(ctx)} }(r.services[name])
	}
	var failures []error
	for range names {
		exit := <-exits
		if exit.err == nil || errors.Is(exit.err, context.Canceled) {
			continue
		}
		failures = append(failures, fmt.Errorf("service %q: %w", exit.name, exit.err))
		cancel()
	}
	return errors.Join(failures...)
}

// Dump returns the state of each service that implements Dumper, by name.
func (r *Registry) Dump() map[string]any {
	r.mu.RLock()
	defer r.mu.RUnlock()
	dump := make(map[string]any, len(r.services))
	for name, s := range r.services {
		if d, ok := s.(Dumper); ok {
			dump[name] = d.Dump()
		}
	}
	return dump
}

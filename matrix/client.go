package matrix

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"snipewall/core"
	"snipewall/core/fakes"
)

// readTimeout is the clients' timeout for a read.
const readTimeout = 2 * time.Second

// keys are the keys that the clients read and write.
var keys = []string{"x", "y"}

// startClients starts the writers and readers of each entry VM.
func (sim *Simulation) startClients(ctx context.Context) {
	n := 0
	for _, v := range sim.vms {
		for i := range sim.cfg.Clients {
			key := keys[i%len(keys)]
			for _, f := range []func(context.Context, *vm, int, string){sim.write, sim.read} {
				n++
				sim.startClient(ctx, v, n, key, f)
			}
		}
	}
}

func (sim *Simulation) startClient(ctx context.Context, v *vm, n int, key string, op func(context.Context, *vm, int, string)) {
	sim.clients.Add(1)
	sim.run(ctx, func(ctx context.Context) error {
		defer sim.clients.Done()
		for {
			select {
			case <-sim.stopClients:
				return nil
			case <-time.After(sim.pauseTime()):
			}
			sim.observe(v)
			op(ctx, v, n, key)
		}
	})
}

// pauseTime returns a random time until a client's next operation.
func (sim *Simulation) pauseTime() time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	every := sim.cfg.Every
	if time.Now().After(sim.fullRateUntil) {
		every *= 5
	}
	return every/2 + time.Duration(sim.random.Int64N(int64(every)))
}

// observe records the entry VM's view of the primary.
func (sim *Simulation) observe(v *vm) {
	id, term, ok := sim.observedPrimary(v)
	if !ok {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.observations = append(sim.observations, Observation{
		At: time.Now(), Site: v.site, Primary: id, Term: term, Confirmed: v.view.Confirmed(),
	})
}

// observedPrimary returns the primary and its term according to the entry VM's monitor.
func (sim *Simulation) observedPrimary(v *vm) (core.UpstreamID, core.Term, bool) {
	if !sim.cfg.Defects.AnyPrimary {
		return v.view.Primary()
	}
	for _, r := range v.view.Reports() {
		if r.Known && r.Err == nil && r.Status.Role == core.RolePrimary {
			return r.ID, r.Status.Promised, true
		}
	}
	return "", 0, false
}

// write commits a new value and waits until it is confirmed.
func (sim *Simulation) write(ctx context.Context, v *vm, client int, key string) {
	id, _, ok := sim.observedPrimary(v)
	if !ok {
		return
	}
	op := Op{Client: client, Site: v.site, Key: key, Write: true, Start: time.Now()}
	sim.mu.Lock()
	sim.lastValue++
	op.Value = sim.lastValue
	sim.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sim.cfg.WriteTimeout)
	defer cancel()
	p, err := sim.Group.Remote(v.site, id).Write(ctx, key, op.Value)
	if errors.Is(err, fakes.ErrReadOnly) || errors.Is(err, syscall.ECONNREFUSED) {
		v.view.Suspect(id)
		return
	}
	op.Position = p
	if err == nil && !sim.cfg.Defects.AckAtCommit {
		err = v.view.Confirm(ctx, p)
	}
	op.Done = err == nil
	op.End = time.Now()
	sim.addOp(op)
}

// read reads at a read index from an upstream that has applied that position.
func (sim *Simulation) read(ctx context.Context, v *vm, client int, key string) {
	op := Op{Client: client, Site: v.site, Key: key, Start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := sim.readIndex(ctx, v)
	if err != nil {
		return
	}
	op.Position = p
	op.Value, err = sim.readAt(ctx, v, key, p)
	if err != nil {
		return
	}
	op.Done = true
	op.End = time.Now()
	sim.addOp(op)
}

func (sim *Simulation) readIndex(ctx context.Context, v *vm) (core.Position, error) {
	if !sim.cfg.Defects.StaleIndex {
		return v.view.ReadIndex(ctx)
	}
	id, _, ok := v.view.Primary()
	if !ok {
		return core.Position{}, errors.New("no primary")
	}
	s, _, _ := v.view.Status(id)
	return s.Log, nil
}

// readAt reads from a random upstream if it applies the position within a quarter of readTimeout, and
// otherwise from the primary.
func (sim *Simulation) readAt(ctx context.Context, v *vm, key string, p core.Position) (int, error) {
	id := sim.randomUpstream()
	short, cancel := context.WithTimeout(ctx, readTimeout/4)
	defer cancel()
	if err := v.view.WaitApplied(short, id, p); err == nil {
		if value, err := sim.Group.Remote(v.site, id).ReadAt(short, key, p); err == nil {
			return value, nil
		}
	}
	primary, _, ok := v.view.Primary()
	if !ok {
		return 0, fmt.Errorf("no primary for a read at %s", p)
	}
	return sim.Group.Remote(v.site, primary).ReadAt(ctx, key, p)
}

func (sim *Simulation) addOp(op Op) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.ops = append(sim.ops, op)
}

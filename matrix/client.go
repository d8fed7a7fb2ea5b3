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

// readDeadline is the clients' deadline for a read.
const readDeadline = 2 * time.Second

// keys are the keys that the clients read and write.
var keys = []string{"x", "y"}

// startClients starts the writers and readers of each entry VM.
func (w *World) startClients(ctx context.Context) {
	n := 0
	for _, v := range w.vms {
		for i := range w.cfg.Clients {
			key := keys[i%len(keys)]
			for _, f := range []func(context.Context, *vm, int, string){w.write, w.read} {
				n++
				w.client(ctx, v, n, key, f)
			}
		}
	}
}

func (w *World) client(ctx context.Context, v *vm, n int, key string, f func(context.Context, *vm, int, string)) {
	w.clients.Add(1)
	w.run(ctx, func(ctx context.Context) error {
		defer w.clients.Done()
		for {
			select {
			case <-w.halt:
				return nil
			case <-time.After(w.pauseTime()):
			}
			w.observe(v)
			f(ctx, v, n, key)
		}
	})
}

// pauseTime returns a random time until a client's next operation.
func (w *World) pauseTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	every := w.cfg.Every
	if time.Now().After(w.busyUntil) {
		every *= 5
	}
	return every/2 + time.Duration(w.random.Int64N(int64(every)))
}

// observe records the entry VM's view of the primary.
func (w *World) observe(v *vm) {
	id, term, ok := w.primary(v)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sightings = append(w.sightings, Sighting{
		At: time.Now(), Site: v.site, Primary: id, Term: term, Confirmed: v.view.Confirmed(),
	})
}

func (w *World) primary(v *vm) (core.UpstreamID, core.Term, bool) {
	if !w.cfg.Broken.AnyPrimary {
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
func (w *World) write(ctx context.Context, v *vm, client int, key string) {
	id, _, ok := w.primary(v)
	if !ok {
		return
	}
	op := Op{Client: client, Site: v.site, Key: key, Write: true, Start: time.Now()}
	w.mu.Lock()
	w.next++
	op.Value = w.next
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, w.cfg.WriteDeadline)
	defer cancel()
	p, err := w.Group.Remote(v.site, id).Write(ctx, key, op.Value)
	if errors.Is(err, fakes.ErrReadOnly) || errors.Is(err, syscall.ECONNREFUSED) {
		v.view.Suspect(id)
		return
	}
	op.Position = p
	if err == nil && !w.cfg.Broken.AckAtCommit {
		err = v.view.Confirm(ctx, p)
	}
	op.Done = err == nil
	op.End = time.Now()
	w.add(op)
}

// read reads at a read index from an upstream that has applied that position.
func (w *World) read(ctx context.Context, v *vm, client int, key string) {
	op := Op{Client: client, Site: v.site, Key: key, Start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, readDeadline)
	defer cancel()
	p, err := w.index(ctx, v)
	if err != nil {
		return
	}
	op.Position = p
	op.Value, err = w.readAt(ctx, v, key, p)
	if err != nil {
		return
	}
	op.Done = true
	op.End = time.Now()
	w.add(op)
}

func (w *World) index(ctx context.Context, v *vm) (core.Position, error) {
	if !w.cfg.Broken.StaleIndex {
		return v.view.ReadIndex(ctx)
	}
	id, _, ok := v.view.Primary()
	if !ok {
		return core.Position{}, errors.New("no primary")
	}
	s, _, _ := v.view.Status(id)
	return s.Log, nil
}

// readAt reads from a random upstream if that applies the position in a short time, and otherwise from the
// primary.
func (w *World) readAt(ctx context.Context, v *vm, key string, p core.Position) (int, error) {
	id := w.target()
	short, cancel := context.WithTimeout(ctx, readDeadline/4)
	defer cancel()
	if err := v.view.WaitApplied(short, id, p); err == nil {
		if value, err := w.Group.Remote(v.site, id).ReadAt(short, key, p); err == nil {
			return value, nil
		}
	}
	primary, _, ok := v.view.Primary()
	if !ok {
		return 0, fmt.Errorf("no primary for a read at %s", p)
	}
	return w.Group.Remote(v.site, primary).ReadAt(ctx, key, p)
}

func (w *World) add(op Op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, op)
}

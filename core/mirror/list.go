package mirror

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// storeListTimeout limits a listing of the store, standbyListTimeout one of each of standbyTries mirrors after
	// a failure of the store.
	storeListTimeout   = 3 * time.Second
	standbyListTimeout = time.Second
	// maxListAge is how old the confirmation of a mirror's listing may be.
	maxListAge = 2 * time.Second
	// listMethod is the name of the RPC method.
	listMethod = "Mirror.List"
)

// List implements core.PrefixStore. If the store fails, it asks other mirrors for a listing that is not older
// than what is known.
func (m *Mirror) List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	listedAt := m.cfg.Now()
	entries, at, err := m.listStore(ctx, prefix)
	for range standbyTries {
		if err == nil || ctx.Err() != nil {
			break
		}
		vm, ok := m.nextStandby(prefix)
		if !ok {
			break
		}
		if answer, ok := m.listMirror(ctx, vm, prefix, 0); ok {
			entries, at, err = answer.Entries, answer.At, nil
			listedAt = answer.confirmedAt
		}
	}
	if err == nil && !m.cfg.Eras.Note(at.Era()) {
		err = errNotCurrent
	}
	if err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view(prefix)
	v.reset(entries, at)
	v.listedAt = listedAt
	if !m.cfg.NeedsWatch {
		v.confirmListing(at, listedAt)
	}
	return entries, at, nil
}

// Relist is List for one who has followed the changes and lacks some, since a watch returned core.ErrCompacted. In a
// large deployment it asks the mirror that this VM follows first, which has most likely listed the entries again. A
// listing from another failure domain would cost more for its bytes than one of the store.
func (m *Mirror) Relist(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	p := m.position()
	if p.isTree && len(p.sources) > 0 && m.distance(p.sources[0]) == 0 {
		if answer, ok := m.listMirror(ctx, p.sources[0], prefix, maxSharedBytes); ok {
			m.mu.Lock()
			defer m.mu.Unlock()
			v := m.view(prefix)
			v.reset(answer.Entries, answer.At)
			v.listedAt = answer.confirmedAt
			return answer.Entries, answer.At, nil
		}
	}
	return m.List(ctx, prefix)
}

func (m *Mirror) listStore(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeListTimeout)
	defer cancel()
	return m.cfg.Store.List(ctx, prefix)
}

// listMirror asks another VM's mirror for a listing of at most maxBytes, or any size if that is 0. It returns false if there is none that is recent.
func (m *Mirror) listMirror(ctx context.Context, vm core.VM, prefix string, maxBytes int) (ListAnswer, bool) {
	callCtx, cancel := context.WithTimeout(ctx, standbyListTimeout)
	defer cancel()
	m.mu.Lock()
	known := m.view(prefix).maxVersion
	m.mu.Unlock()
	began := m.cfg.Now()
	var out ListAnswer
	err := m.cfg.Call(callCtx, vm.Control, listMethod, &ListRequest{Prefix: prefix, MinVersion: known, MaxAge: maxListAge, MaxBytes: maxBytes}, &out)
	if err == nil && (!out.OK || !m.cfg.Eras.Note(out.At.Era())) {
		err = errNotCurrent
	}
	if err != nil {
		if ctx.Err() == nil {
			m.noteFailure(watch{prefix: prefix, after: known}, vm.ID, m.cfg.Now().Sub(began), 0, err)
		}
		return ListAnswer{}, false
	}
	out.confirmedAt = began.Add(-maxListAge)
	level.Info(m.cfg.Log).Log("Msg", "listed by a mirror", "Prefix", prefix, "Mirror", vm.ID, "Revision", out.At)
	return out, true
}

package table

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"snipewall/core"
)

// Defaults of EditorConfig.
const (
	defaultAttempts = 6
	defaultBackoff  = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
	defaultTimeout  = 20 * time.Second
)

// EditorConfig sets up an Editor.
type EditorConfig struct {
	Store core.Store
	// Key is the table's key in the store, DefaultKey if empty.
	Key string
	// Attempts limits the tries of one edit, 6 if 0.
	Attempts int
	// Backoff is the wait after the first failed try, 100 ms if 0. It doubles up to 2 s.
	Backoff time.Duration
	// Timeout limits one edit as a whole, 20 s if 0.
	Timeout time.Duration
	// Known returns a version that entry VMs have in force, or 0. If the store lost the table, the next
	// version is above it, since entry VMs adopt only higher versions. It may be nil.
	Known func() core.Version
}

// Editor changes the table in the platform's store. It is safe for concurrent use.
type Editor struct {
	cfg EditorConfig
}

// NewEditor returns an Editor. It makes no call.
func NewEditor(cfg EditorConfig) *Editor {
	if cfg.Key == "" {
		cfg.Key = DefaultKey
	}
	if cfg.Attempts <= 0 {
		cfg.Attempts = defaultAttempts
	}
	if cfg.Backoff <= 0 {
		cfg.Backoff = defaultBackoff
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Known == nil {
		cfg.Known = func() core.Version { return 0 }
	}
	return &Editor{cfg: cfg}
}

// NewEditID returns a random id for an edit.
func NewEditID() core.EditID { return core.EditID(rand.Text()) }

// Applied is the result of an edit.
type Applied struct {
	// Version is the version in which the edit is contained.
	Version core.Version
	Changes Changes
	// Merged tells that the edit was merged with later edits of other rows.
	Merged bool
	// Unchanged tells that the table in force already was as the edit asks, so that nothing was
	// written.
	Unchanged bool
}

// OutcomeError says that the store didn't answer in time, so that the edit may or may not be in
// force. Applying the edit again with the same id is safe.
type OutcomeError struct {
	Edit core.EditID
	Err  error
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: edit %q may or may not be in force, apply it again with the same id: %v", e.Edit, e.Err)
}

// Unwrap returns the last error of the store.
func (e *OutcomeError) Unwrap() error { return e.Err }

// Read returns the table in the store. A store without a table gives version 0.
func (e *Editor) Read(ctx context.Context) (Checkout, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timeout)
	defer cancel()
	cur, _, err := e.load(ctx)
	if err != nil {
		return Checkout{}, err
	}
	return Checkout{Version: cur.Version, Edit: cur.Edit, Table: cur.table}, nil
}

// Plan returns what Apply would do now, without a write.
func (e *Editor) Plan(ctx context.Context, edit Edit) (Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timeout)
	defer cancel()
	cur, _, err := e.load(ctx)
	if err != nil {
		return Applied{}, err
	}
	p, err := planEdit(cur, edit)
	if err != nil {
		return Applied{}, err
	}
	return p.result(cur.Version), nil
}

func (p plan) result(version core.Version) Applied {
	return Applied{Version: version, Changes: p.changes, Merged: p.merged, Unchanged: len(p.changes) == 0}
}

// load reads the record and the version of its entry. Without an entry, both are empty.
func (e *Editor) load(ctx context.Context) (*record, core.Version, error) {
	entry, err := e.cfg.Store.Get(ctx, e.cfg.Key)
	if errors.Is(err, core.ErrNotFound) {
		return &record{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	cur, err := decodeRecord(entry.Value)
	return cur, entry.Version, err
}

// Apply writes the edit with compare-and-swap. Errors are *ConflictError, *OutcomeError, or any
// other error if the edit is certainly not in force.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Applied, error) {
	if edit.ID == "" || edit.Table == nil {
		return Applied{}, core.ErrTable.New("not applied: an edit needs an id and a table")
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timeout)
	defer cancel()
	a := attempt{editor: e, edit: edit}
	for n := range e.cfg.Attempts {
		if n > 0 && !pause(ctx, e.cfg.Backoff<<(n-1)) {
			break
		}
		applied, done, err := a.try(ctx)
		if done {
			return applied, err
		}
		a.last = err
	}
	if a.sent != nil {
		return Applied{}, core.ErrTable.Wrap(&OutcomeError{Edit: edit.ID, Err: a.last})
	}
	return Applied{}, fmt.Errorf("not applied after %d tries: %w", e.cfg.Attempts, a.last)
}

// attempt is the state of one edit over its tries.
type attempt struct {
	editor *Editor
	edit   Edit
	// seen is a lower limit of the entry's version; a read below it comes from a place that lags.
	seen core.Version
	// sent is the record whose write may have taken effect, or nil.
	sent *record
	last error
}

// errStale says that a read returned an older version than the store holds.
var errStale = errors.New("the store answered with an old version")

// try reads the record, and writes the edit if it isn't there yet. It returns false if another try
// may succeed.
func (a *attempt) try(ctx context.Context) (Applied, bool, error) {
	cur, version, err := a.editor.load(ctx)
	if err != nil {
		// A record that can't be read stays so until somebody repairs it.
		var broken *InvalidError
		return Applied{}, errors.As(err, &broken) && a.sent == nil, err
	}
	if version < a.seen {
		return Applied{}, false, errStale
	}
	a.seen = version
	if v := cur.find(a.edit.ID); v > 0 {
		return Applied{Version: v, Merged: v > a.edit.Base+1, Changes: a.changes(cur, v)}, true, nil
	}
	if a.sent != nil && cur.Version >= a.sent.Version && !cur.remembers(a.sent.Version-1) {
		err := &OutcomeError{Edit: a.edit.ID, Err: errForgotten}
		return Applied{}, true, core.ErrTable.Wrap(err)
	}
	p, err := planEdit(cur, a.edit)
	if err != nil {
		// A base above the version in force can be due to a read from a place that lags.
		return Applied{}, a.edit.Base <= cur.Version, err
	}
	if len(p.changes) == 0 {
		return p.result(cur.Version), true, nil
	}
	return a.write(ctx, cur, version, p)
}

// changes returns what the edit changed, as far as the history tells.
func (a *attempt) changes(cur *record, version core.Version) Changes {
	before, _, err := cur.base(version - 1)
	if err != nil {
		return nil
	}
	after, _, err := cur.base(version)
	if err != nil {
		return nil
	}
	return Diff(before, after)
}

func (a *attempt) write(ctx context.Context, cur *record, version core.Version, p plan) (Applied, bool, error) {
	next := cur.next(max(cur.Version, a.floor(cur))+1, a.edit.ID, p.table)
	value, err := next.encode()
	if err != nil {
		return Applied{}, true, err
	}
	_, err = a.editor.cfg.Store.CompareAndSwap(ctx, a.editor.cfg.Key, value, version, "")
	if err == nil {
		return p.result(next.Version), true, nil
	}
	if errors.Is(err, core.ErrVersionConflict) {
		// The entry is above the version that was read. The next read has to show that.
		a.seen = max(a.seen, version+1)
		return Applied{}, false, err
	}
	a.sent = next
	return Applied{}, false, err
}

// floor returns the version above which the next one must be.
func (a *attempt) floor(cur *record) core.Version {
	if cur.Version > 0 {
		return 0
	}
	return a.editor.cfg.Known()
}

// pause waits for about d, up to a limit, and returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 || d > maxBackoff {
		d = maxBackoff
	}
	timer := time.NewTimer(d/2 + mathrand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

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

// EditorConfig configures an Editor.
type EditorConfig struct {
	Store core.Store
	// Key is the table's key in the store, DefaultKey if empty.
	Key string
	// Attempts limits the attempts for one edit, 6 if 0.
	Attempts int
	// Backoff is the wait after the first failed attempt, 100 ms if 0. It doubles up to 2 s.
	Backoff time.Duration
	// Timeout limits one edit with all its attempts, 20 s if 0.
	Timeout time.Duration
	// KnownVersion returns a version that entry VMs have, or 0. If the store lost the table, the next
	// version is higher than this one, since entry VMs adopt only higher versions. It may be nil.
	KnownVersion func() core.Version
}

// Editor edits the table in the platform's store. It is safe for concurrent use.
type Editor struct {
	cfg EditorConfig
}

// NewEditor returns an Editor. It doesn't access the store.
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
	if cfg.KnownVersion == nil {
		cfg.KnownVersion = func() core.Version { return 0 }
	}
	return &Editor{cfg: cfg}
}

// NewEditID returns a random id for an edit.
func NewEditID() core.EditID { return core.EditID(rand.Text()) }

// Applied is the result of an edit.
type Applied struct {
	// Version is the version that contains the edit.
	Version core.Version
	Changes Changes
	// Merged is set if the edit was merged with later edits of other rows.
	Merged bool
	// Unchanged is set if the table already was as the edit requires, so that nothing was written.
	Unchanged bool
}

// OutcomeError reports that the store didn't answer in time, so that the edit may or may not have taken
// effect. It is safe to apply the edit again with the same id.
type OutcomeError struct {
	Edit core.EditID
	Err  error
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: edit %q may or may not be in force, apply it again with the same id: %v", e.Edit, e.Err)
}

// Unwrap returns the store's last error.
func (e *OutcomeError) Unwrap() error { return e.Err }

// Read returns the table in the store. If there is none, the version is 0.
func (e *Editor) Read(ctx context.Context) (Checkout, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timeout)
	defer cancel()
	cur, _, err := e.load(ctx)
	if err != nil {
		return Checkout{}, err
	}
	return Checkout{Version: cur.Version, Edit: cur.Edit, Table: cur.table}, nil
}

// Plan returns what Apply would do now, without writing.
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

// load reads the record and the version of its entry. Without an entry, the record is empty and the
// version 0.
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

// Apply writes the edit with compare-and-swap. After *OutcomeError the edit may have taken effect; after
// *ConflictError or any other error it certainly has not.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Applied, error) {
	if edit.ID == "" || edit.Table == nil {
		return Applied{}, core.ErrTable.New("not applied: an edit needs an id and a table")
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timeout)
	defer cancel()
	a := attempt{editor: e, edit: edit}
	for n := range e.cfg.Attempts {
		if n > 0 && !sleepWithJitter(ctx, e.cfg.Backoff<<(n-1)) {
			break
		}
		applied, done, err := a.try(ctx)
		if done {
			return applied, err
		}
		a.lastErr = err
	}
	if a.uncertain != nil {
		return Applied{}, core.ErrTable.Wrap(&OutcomeError{Edit: edit.ID, Err: a.lastErr})
	}
	return Applied{}, fmt.Errorf("not applied after %d tries: %w", e.cfg.Attempts, a.lastErr)
}

// attempt is the state of one edit over its attempts.
type attempt struct {
	editor *Editor
	edit   Edit
	// minEntryVersion is a lower bound of the entry's version; a read below it is stale.
	minEntryVersion core.Version
	// uncertain is the record of a write that may have taken effect, or nil.
	uncertain *record
	lastErr   error
}

// errStaleRead means that a read returned an older version than the store is known to have.
var errStaleRead = errors.New("the store answered with an old version")

// try reads the record, and writes the edit if the record doesn't contain it yet. It returns false if
// another attempt may succeed.
func (a *attempt) try(ctx context.Context) (Applied, bool, error) {
	cur, version, err := a.editor.load(ctx)
	if err != nil {
		// An invalid record stays invalid until it is repaired, so a retry is useless.
		var broken *InvalidError
		return Applied{}, errors.As(err, &broken) && a.uncertain == nil, err
	}
	if version < a.minEntryVersion {
		return Applied{}, false, errStaleRead
	}
	a.minEntryVersion = version
	if v := cur.versionOfEdit(a.edit.ID); v > 0 {
		return Applied{Version: v, Merged: v > a.edit.Base+1, Changes: a.changes(cur, v)}, true, nil
	}
	if a.uncertain != nil && cur.Version >= a.uncertain.Version && !cur.hasHistorySince(a.uncertain.Version-1) {
		err := &OutcomeError{Edit: a.edit.ID, Err: errHistoryTruncated}
		return Applied{}, true, core.ErrTable.Wrap(err)
	}
	p, err := planEdit(cur, a.edit)
	if err != nil {
		// If the base is higher than the current version, the read may have been stale.
		return Applied{}, a.edit.Base <= cur.Version, err
	}
	if len(p.changes) == 0 {
		return p.result(cur.Version), true, nil
	}
	return a.write(ctx, cur, version, p)
}

// changes returns the changes made by the edit, or nil if the history doesn't contain them.
func (a *attempt) changes(cur *record, version core.Version) Changes {
	before, _, err := cur.restore(version - 1)
	if err != nil {
		return nil
	}
	after, _, err := cur.restore(version)
	if err != nil {
		return nil
	}
	return Diff(before, after)
}

func (a *attempt) write(ctx context.Context, cur *record, version core.Version, p plan) (Applied, bool, error) {
	next := cur.next(max(cur.Version, a.knownVersion(cur))+1, a.edit.ID, p.table)
	value, err := next.encode()
	if err != nil {
		return Applied{}, true, err
	}
	_, err = a.editor.cfg.Store.CompareAndSwap(ctx, a.editor.cfg.Key, value, version, "")
	if err == nil {
		return p.result(next.Version), true, nil
	}
	if errors.Is(err, core.ErrVersionConflict) {
		// The entry's version is higher than the one that was read. The next read must not be older.
		a.minEntryVersion = max(a.minEntryVersion, version+1)
		return Applied{}, false, err
	}
	a.uncertain = next
	return Applied{}, false, err
}

// knownVersion returns the version that the next one must exceed.
func (a *attempt) knownVersion(cur *record) core.Version {
	if cur.Version > 0 {
		return 0
	}
	return a.editor.cfg.KnownVersion()
}

// sleepWithJitter waits for about d, but at most about maxBackoff. It returns false if ctx ends first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	if d <= 0 || d > maxBackoff {
		d = maxBackoff
	}
	return sleep(ctx, d/2+mathrand.N(d/2+1))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

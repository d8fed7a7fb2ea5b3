package quorum

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"snipewall/core"
)

// errStopped is the end of a wait whose monitor has stopped.
var errStopped = errors.New("monitor stopped")

type waitKind uint8

const (
	waitConfirm waitKind = iota
	waitIndex
	waitApplied
)

// waiter is one caller that waits for polls.
type waiter struct {
	kind waitKind
	// pos is the awaited position. A read index fills it in once the primary's tail is known.
	pos core.Position
	// poll is the number of the last poll that had started when the call arrived.
	poll  uint64
	start time.Time
	done  chan error
}

// waitList holds waiters in order of arrival and the usual duration of their waits.
type waitList struct {
	list []*waiter
	// usual is a moving average of the time that completed waits took.
	usual time.Duration
}

// settle ends the waits for which check reports an end.
func (l *waitList) settle(now time.Time, check func(*waiter) (bool, error)) {
	kept := l.list[:0]
	for _, w := range l.list {
		ended, err := check(w)
		if !ended {
			kept = append(kept, w)
			continue
		}
		if err == nil {
			l.usual += (now.Sub(w.start) - l.usual) / 8
		}
		w.done <- err
	}
	clear(l.list[len(kept):])
	l.list = kept
}

func (l *waitList) remove(w *waiter) {
	if i := slices.Index(l.list, w); i >= 0 {
		l.list = slices.Delete(l.list, i, i+1)
	}
}

// gap returns the time between polls that the waits ask for, or false if nobody waits. The newest
// waiter decides, so that one that waits in vain doesn't slow down the others.
func (l *waitList) gap(now time.Time, shortest, longest time.Duration) (time.Duration, bool) {
	n := len(l.list)
	if n == 0 {
		return 0, false
	}
	wait := max(l.usual, now.Sub(l.list[n-1].start))
	return min(max(wait/8, shortest), longest), true
}

// Confirm implements core.GroupView. It returns *core.UnknownOutcomeError if a majority has promised
// a term above that of p, and otherwise wraps the error of ctx.
func (m *Monitor) Confirm(ctx context.Context, p core.Position) error {
	w := &waiter{kind: waitConfirm, pos: p}
	if err := m.wait(ctx, &m.waits, w); err != nil {
		return fmt.Errorf("confirm %s in group %s: %w", p, m.cfg.Group, err)
	}
	return nil
}

// ReadIndex implements core.GroupView.
func (m *Monitor) ReadIndex(ctx context.Context) (core.Position, error) {
	w := &waiter{kind: waitIndex}
	if err := m.wait(ctx, &m.waits, w); err != nil {
		return core.Position{}, fmt.Errorf("read index of group %s: %w", m.cfg.Group, err)
	}
	return w.pos, nil
}

// WaitApplied implements core.GroupView.
func (m *Monitor) WaitApplied(ctx context.Context, id core.UpstreamID, p core.Position) error {
	i, ok := m.index[id]
	if !ok {
		return fmt.Errorf("group %s has no upstream %s", m.cfg.Group, id)
	}
	w := &waiter{kind: waitApplied, pos: p}
	if err := m.wait(ctx, &m.members[i].waits, w); err != nil {
		return fmt.Errorf("wait for %s on %s: %w", p, id, err)
	}
	return nil
}

// wait adds the waiter to the list, unless it can be settled at once, and blocks until it ends.
func (m *Monitor) wait(ctx context.Context, l *waitList, w *waiter) error {
	w.done = make(chan error, 1)
	m.mu.Lock()
	if m.stopped {
		m.mu.Unlock()
		return errStopped
	}
	w.poll = m.polls
	w.start = time.Now()
	m.touchLocked(w.start)
	l.list = append(l.list, w)
	m.settleLocked(w.start)
	m.mu.Unlock()
	m.wake()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		m.mu.Lock()
		l.remove(w)
		m.mu.Unlock()
		return ctx.Err()
	}
}

// settleLocked ends the waits that the last statuses answer.
func (m *Monitor) settleLocked(now time.Time) {
	m.waits.settle(now, m.checkLocked)
	for i := range m.members {
		applied := m.members[i].status.Applied
		m.members[i].waits.settle(now, func(w *waiter) (bool, error) { return applied.Covers(w.pos), nil })
	}
}

func (m *Monitor) checkLocked(w *waiter) (bool, error) {
	if w.kind == waitIndex {
		return m.checkIndexLocked(w), nil
	}
	if m.confirmedLocked(w.pos) {
		return true, nil
	}
	if m.tally.promised > w.pos.Term {
		return true, &core.UnknownOutcomeError{
			Reason: fmt.Sprintf("a majority has promised term %d", m.tally.promised),
		}
	}
	return false, nil
}

// checkIndexLocked takes the primary's tail from the first polls that started after the call, then
// waits until that tail is confirmed. A new term starts over.
func (m *Monitor) checkIndexLocked(w *waiter) bool {
	if w.pos.Term < m.tally.promised {
		w.pos = core.Position{}
	}
	if w.pos.IsZero() {
		if m.tally.primary < 0 || m.tally.fresh <= w.poll {
			return false
		}
		w.pos = m.members[m.tally.primary].status.Log
	}
	return m.confirmedLocked(w.pos)
}

// confirmedLocked reports whether a majority has held p under p's own term. The place before the first
// entry always counts.
func (m *Monitor) confirmedLocked(p core.Position) bool {
	return p.IsZero() || p.Term == m.confirmed.Term && p.Offset <= m.confirmed.Offset
}

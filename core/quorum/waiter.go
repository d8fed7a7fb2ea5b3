package quorum

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"snipewall/core"
)

// errStopped is returned by waiting calls when the monitor has stopped.
var errStopped = errors.New("monitor stopped")

type waitKind uint8

const (
	waitConfirm waitKind = iota
	waitIndex
	waitApplied
)

// waiter is a call that waits for the results of polls.
type waiter struct {
	kind waitKind
	// pos is the position that the call waits for. For a read index it is set once the end of the
	// primary's log is known.
	pos core.Position
	// poll is the number of polls that had started before the call.
	poll  uint64
	start time.Time
	done  chan error
}

// waitList holds waiters in order of arrival.
type waitList struct {
	list []*waiter
	// averageWait is the moving average of the duration of successful waits.
	averageWait time.Duration
}

// settle ends the waits for which check returns true, with the error that it returns.
func (l *waitList) settle(now time.Time, check func(*waiter) (bool, error)) {
	kept := l.list[:0]
	for _, w := range l.list {
		ended, err := check(w)
		if !ended {
			kept = append(kept, w)
			continue
		}
		if err == nil {
			l.averageWait += (now.Sub(w.start) - l.averageWait) / 8
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

// pollInterval returns the time between polls that the waiters need, or false without waiters. It
// depends on the newest waiter, so that one that waits for a long time doesn't slow down the others.
func (l *waitList) pollInterval(now time.Time, shortest, longest time.Duration) (time.Duration, bool) {
	n := len(l.list)
	if n == 0 {
		return 0, false
	}
	wait := max(l.averageWait, now.Sub(l.list[n-1].start))
	return min(max(wait/8, shortest), longest), true
}

// Confirm implements core.GroupView. Its error wraps *core.UnknownOutcomeError if a majority has promised
// a term above that of p, and the error of ctx if that has ended.
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

// wait adds the waiter to the list and blocks until a poll satisfies it or ctx ends. It returns at once
// if the last statuses satisfy it already.
func (m *Monitor) wait(ctx context.Context, l *waitList, w *waiter) error {
	w.done = make(chan error, 1)
	m.mu.Lock()
	if m.stopped {
		m.mu.Unlock()
		return errStopped
	}
	w.poll = m.polls
	w.start = time.Now()
	m.markUsedLocked(w.start)
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

// settleLocked ends the waits that the last statuses satisfy.
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

// checkIndexLocked sets w.pos to the end of the primary's log once a majority of polls that started after
// the call shows the primary, and reports whether that position is confirmed. A new term starts over.
func (m *Monitor) checkIndexLocked(w *waiter) bool {
	if w.pos.Term < m.tally.promised {
		w.pos = core.Position{}
	}
	if w.pos.IsZero() {
		if m.tally.primary < 0 || m.tally.freshPoll <= w.poll {
			return false
		}
		w.pos = m.members[m.tally.primary].status.Log
	}
	return m.confirmedLocked(w.pos)
}

// confirmedLocked reports whether a majority has held p under p's own term. The zero position is always
// confirmed.
func (m *Monitor) confirmedLocked(p core.Position) bool {
	return p.IsZero() || p.Term == m.confirmed.Term && p.Offset <= m.confirmed.Offset
}

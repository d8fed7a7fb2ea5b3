package pool

import (
	"context"
	"maps"
	"slices"
	"time"
)

// neededDials returns the labels of the connections that should be dialed, those of waiters first. The caller
// holds mu.
func (p *Pool[T]) neededDials() []string {
	labels := p.unservedLabels()
	idle := p.cfg.MinIdle - len(p.idle) - p.checking
	for range max(0, idle) - max(0, p.dialing-len(p.waiters)) {
		labels = append(labels, AnyLabel)
	}
	want := min(len(labels), max(0, p.cfg.Limit-p.total))
	if p.cfg.SlowStart {
		want = min(want, max(1, p.total-p.dialing)-p.dialing)
	}
	if want <= 0 {
		return nil
	}
	return labels[:want]
}

// unservedLabels returns the labels of the waiters that no dial in progress is for. The caller holds mu.
func (p *Pool[T]) unservedLabels() []string {
	if len(p.waiters) == 0 {
		return nil
	}
	dialing := p.dialing
	byLabel := maps.Clone(p.dialingLabels)
	var labels []string
	for _, w := range p.waiters {
		switch {
		case w.label == AnyLabel && dialing > 0:
			dialing--
		case w.label != AnyLabel && byLabel[w.label] > 0:
			byLabel[w.label]--
			dialing--
		default:
			labels = append(labels, w.label)
		}
	}
	return labels
}

// replaceIdle closes the idle connections that were unused for the longest time where waiters need other labels and
// the limit of the pool or of the other side leaves no room.
func (p *Pool[T]) replaceIdle(now time.Time) {
	p.mu.Lock()
	needed := len(p.unservedLabels()) - max(0, p.cfg.Limit-p.total)
	if needed <= 0 && p.dialErr != nil && p.dialing == 0 && len(p.waiters) > 0 && !now.Before(p.retryAt) && p.isAtLimit(p.dialErr) {
		needed = 1
	}
	n := min(max(0, needed), len(p.idle))
	old := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.replaced += n
	p.mu.Unlock()
	for _, e := range old {
		p.close(e)
	}
}

// reserveDials returns the labels of the dials to start and counts them as in progress.
func (p *Pool[T]) reserveDials(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	labels := p.neededDials()
	if p.dialErr != nil {
		// After a failure, only one dial at a time tests whether connections are accepted again.
		labels = labels[:min(len(labels), 1)]
		if now.Before(p.retryAt) || p.dialing > 0 {
			labels = nil
		}
	}
	if len(labels) > 0 && p.dialing == 0 {
		p.dialingSince = now
	}
	p.total += len(labels)
	p.dialing += len(labels)
	for _, label := range labels {
		if label != AnyLabel {
			p.dialingLabels[label]++
		}
	}
	return labels
}

// endDial counts the end of a dial. The caller holds mu.
func (p *Pool[T]) endDial(label string) {
	p.dialing--
	if label == AnyLabel {
		return
	}
	if p.dialingLabels[label]--; p.dialingLabels[label] <= 0 {
		delete(p.dialingLabels, label)
	}
}

func (p *Pool[T]) dial(ctx context.Context, label string) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	v, err := p.cfg.Dial(ctx, label)
	if err != nil {
		p.dialFailed(label, err)
		return
	}
	now := time.Now()
	e := &entry[T]{value: v, label: label, lastUsed: now, lastAnswered: now}
	p.mu.Lock()
	p.endDial(label)
	p.dialingSince = now
	p.dialErr = nil
	p.backoff = 0
	kept := p.offer(e)
	p.mu.Unlock()
	if !kept {
		p.close(e)
	}
}

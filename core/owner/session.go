package owner

import (
	"context"
	"sync"
	"time"

	"snipewall/core"
)

const (
	// maxSpans limits the number of spans; commits of other entry VMs separate them.
	maxSpans = 64
	// maxCommits limits the number of commits whose sessions are known.
	maxCommits = 1 << 16
	// pendingResultWait limits the wait for results of this owner's commits.
	pendingResultWait = 20 * time.Millisecond
)

// sessionLog records, on the owner of a primary, which session made which commit. Log offsets without a
// gap prove that no other entry VM committed in between. Within a span of this owner's commits it is
// therefore certain that a session has not written, whatever the membership was.
type sessionLog struct {
	mu   sync.Mutex
	term core.Term
	// spans are the spans of this owner's commits in ascending order.
	spans []span
	// maxEvicted is the highest offset whose session is no longer known.
	maxEvicted core.Offset
	last       map[core.SessionID]core.Offset
	// commits holds the recorded commits in the order in which they are evicted.
	commits []commit
	// pending counts the running requests that may commit.
	pending int
	// changed is closed and replaced when a result arrives.
	changed chan struct{}
}

// span is a contiguous range of this owner's commits, both ends included.
type span struct{ first, last core.Offset }

type commit struct {
	session core.SessionID
	offset  core.Offset
}

func newSessionLog() *sessionLog {
	return &sessionLog{last: make(map[core.SessionID]core.Offset), changed: make(chan struct{})}
}

// begin registers a request that may commit.
func (l *sessionLog) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending++
}

// end records the result of a request that may commit; p is zero if it committed nothing. It must be
// called before the commit is acknowledged.
func (l *sessionLog) end(session core.SessionID, p core.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
	if !p.IsZero() {
		l.record(session, p)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *sessionLog) record(session core.SessionID, p core.Position) {
	if p.Term < l.term {
		return
	}
	if p.Term > l.term {
		l.term, l.spans, l.commits, l.maxEvicted = p.Term, nil, nil, 0
		clear(l.last)
	}
	l.spans = addOffset(l.spans, p.Offset)
	if session == "" {
		return
	}
	l.last[session] = max(l.last[session], p.Offset)
	l.commits = append(l.commits, commit{session: session, offset: p.Offset})
	if len(l.commits) > maxCommits {
		l.evictOldest()
	}
}

// evictOldest drops the oldest half of the recorded commits.
func (l *sessionLog) evictOldest() {
	old := l.commits[:len(l.commits)/2]
	for _, c := range old {
		l.maxEvicted = max(l.maxEvicted, c.offset)
		if l.last[c.session] == c.offset {
			delete(l.last, c.session)
		}
	}
	l.commits = append([]commit(nil), l.commits[len(old):]...)
}

// addOffset adds a commit and joins it with adjacent spans.
func addOffset(spans []span, o core.Offset) []span {
	i := len(spans)
	for i > 0 && spans[i-1].first > o {
		i--
	}
	if i > 0 && spans[i-1].last+1 >= o {
		spans[i-1].last = max(spans[i-1].last, o)
		i--
	} else {
		spans = append(spans, span{})
		copy(spans[i+1:], spans[i:])
		spans[i] = span{first: o, last: o}
	}
	if i+1 < len(spans) && spans[i].last+1 >= spans[i+1].first {
		spans[i].last = max(spans[i].last, spans[i+1].last)
		spans = append(spans[:i+1], spans[i+2:]...)
	}
	if len(spans) > maxSpans {
		spans = append(spans[:0], spans[1:]...)
	}
	return spans
}

// requiredPosition returns the highest position up to the index that may be a commit of the session, and
// whether the index is within a span of this owner's commits.
func (l *sessionLog) requiredPosition(session core.SessionID, index core.Position) (core.Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index.Term != l.term {
		return index, false
	}
	for i := len(l.spans) - 1; i >= 0; i-- {
		s := l.spans[i]
		if index.Offset > s.last {
			return index, false
		}
		if index.Offset < s.first {
			continue
		}
		offset := max(s.first-1, l.maxEvicted, l.last[session])
		return core.Position{Term: index.Term, Offset: min(offset, index.Offset)}, true
	}
	return index, false
}

// waitForResult waits for the next result of a pending request, which may extend a span to the index.
// It returns false if none is pending or ctx ended.
func (l *sessionLog) waitForResult(ctx context.Context) bool {
	l.mu.Lock()
	pending, changed := l.pending, l.changed
	l.mu.Unlock()
	if pending == 0 {
		return false
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// SessionIndex returns a position that covers every write of the session that was acknowledged before
// the call, by any entry VM; see core.SessionIndexer.
func (o *Owner) SessionIndex(ctx context.Context, session core.SessionID) (core.Position, error) {
	if primary, _, ok := o.cfg.View.Primary(); !ok || primary != o.id {
		return core.Position{}, o.redirect("the session index needs the primary")
	}
	index, err := o.cfg.View.ReadIndex(ctx)
	if err != nil {
		return core.Position{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, pendingResultWait)
	defer cancel()
	for {
		p, known := o.sessions.requiredPosition(session, index)
		if known || !o.sessions.waitForResult(ctx) {
			return p, nil
		}
	}
}

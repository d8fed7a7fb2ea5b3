package owner

import (
	"context"
	"sync"
	"time"

	"snipewall/core"
)

const (
	// maxSpans limits the runs of own commits that are remembered; commits of others separate them.
	maxSpans = 64
	// maxCommits limits the commits whose sessions are remembered.
	maxCommits = 1 << 16
	// accountTime limits the wait for the results of own commits that are under way.
	accountTime = 20 * time.Millisecond
)

// sessionLog remembers, on the owner of a primary, which session made which commit. Log offsets
// without a gap prove that no other entry VM committed in between, so that "this session has not
// written" is certain over a span of own commits and doesn't rest on the membership.
type sessionLog struct {
	mu   sync.Mutex
	term core.Term
	// spans are the runs of own commits in ascending order.
	spans []span
	// floor is the highest offset whose session has been forgotten.
	floor core.Offset
	last  map[core.SessionID]core.Offset
	// order holds the commits in the order in which they are forgotten.
	order []commit
	// running counts the requests that may commit.
	running int
	// changed is closed and replaced when a result comes in.
	changed chan struct{}
}

// span is a run of own commits, both ends included.
type span struct{ first, last core.Offset }

type commit struct {
	session core.SessionID
	offset  core.Offset
}

func newSessionLog() *sessionLog {
	return &sessionLog{last: make(map[core.SessionID]core.Offset), changed: make(chan struct{})}
}

// begin counts a request that may commit.
func (l *sessionLog) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
}

// end takes the result of a request that may commit; p is zero if it committed nothing. It is called
// before the commit is acknowledged.
func (l *sessionLog) end(session core.SessionID, p core.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
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
		l.term, l.spans, l.order, l.floor = p.Term, nil, nil, 0
		clear(l.last)
	}
	l.spans = addOffset(l.spans, p.Offset)
	if session == "" {
		return
	}
	l.last[session] = max(l.last[session], p.Offset)
	l.order = append(l.order, commit{session: session, offset: p.Offset})
	if len(l.order) > maxCommits {
		l.forget()
	}
}

// forget drops the oldest half of the remembered commits.
func (l *sessionLog) forget() {
	old := l.order[:len(l.order)/2]
	for _, c := range old {
		l.floor = max(l.floor, c.offset)
		if l.last[c.session] == c.offset {
			delete(l.last, c.session)
		}
	}
	l.order = append([]commit(nil), l.order[len(old):]...)
}

// addOffset adds an own commit and joins it with the neighboring spans.
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

// needed returns the highest position up to the index that may hold a commit of the session, and
// whether the index lies in a span of own commits.
func (l *sessionLog) needed(session core.SessionID, index core.Position) (core.Position, bool) {
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
		offset := max(s.first-1, l.floor, l.last[session])
		return core.Position{Term: index.Term, Offset: min(offset, index.Offset)}, true
	}
	return index, false
}

// wait waits for the results of the requests under way, which may explain the index.
func (l *sessionLog) wait(ctx context.Context) bool {
	l.mu.Lock()
	running, changed := l.running, l.changed
	l.mu.Unlock()
	if running == 0 {
		return false
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// SessionIndex returns a position that covers every write of the session that was acknowledged
// before the call, on whichever entry VM; see core.SessionIndexer.
func (o *Owner) SessionIndex(ctx context.Context, session core.SessionID) (core.Position, error) {
	if primary, _, ok := o.cfg.View.Primary(); !ok || primary != o.id {
		return core.Position{}, o.redirect("the session index needs the primary")
	}
	index, err := o.cfg.View.ReadIndex(ctx)
	if err != nil {
		return core.Position{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, accountTime)
	defer cancel()
	for {
		p, known := o.sessions.needed(session, index)
		if known || !o.sessions.wait(ctx) {
			return p, nil
		}
	}
}

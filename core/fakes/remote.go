package fakes

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"snipewall/core"
)

// Call is a kind of message to an upstream.
type Call string

// Kinds of messages.
const (
	CallStatus  Call = "Status"
	CallPrepare Call = "Prepare"
	CallPromote Call = "Promote"
	CallFollow  Call = "Follow"
	CallWrite   Call = "Write"
	CallRead    Call = "Read"
)

// Errors of the fake upstreams.
var (
	// ErrTerm means that the upstream's promised term doesn't allow the call.
	ErrTerm = errors.New("term refused")
	// ErrReadOnly means that the upstream accepts no writes. Nothing was written.
	ErrReadOnly = errors.New("upstream is read-only")
	errNoDial   = errors.New("the fake group takes no connections")
)

// Remote is a site's connection to an upstream. It implements core.Upstream.
type Remote struct {
	group *Group
	node  *node
	site  string
}

var _ core.Upstream = (*Remote)(nil)

// View returns the site's connections to all upstreams.
func (g *Group) View(site string) []core.Upstream {
	view := make([]core.Upstream, len(g.nodes))
	for i, n := range g.nodes {
		view[i] = &Remote{group: g, node: n, site: site}
	}
	return view
}

// Remote returns the site's connection to one upstream.
func (g *Group) Remote(site string, id core.UpstreamID) *Remote {
	return &Remote{group: g, node: g.node(id), site: site}
}

type reply struct {
	status core.UpstreamStatus
	value  int
	err    error
}

// call sends a message and waits for its answer. The message may take effect after ctx has ended.
func (r *Remote) call(ctx context.Context, c Call, effect func(n *node) reply) (reply, error) {
	answer := make(chan reply, 1)
	r.group.wg.Add(1)
	go func() {
		defer r.group.wg.Done()
		r.serve(c, effect, answer)
	}()
	select {
	case a := <-answer:
		return a, a.err
	case <-ctx.Done():
		return reply{}, fmt.Errorf("%s to %s: %w", c, r.node.info.ID, ctx.Err())
	case <-r.group.closed:
		return reply{}, errors.New("group closed")
	}
}

// serve delivers the message to the upstream, applies its effect and sends the answer.
func (r *Remote) serve(c Call, effect func(n *node) reply, answer chan<- reply) {
	g := r.group
	request := direction{r.site, string(r.node.info.ID)}
	response := direction{request.to, request.from}
	if !g.sleep(g.cfg.Delay) || g.isCut(request) || !g.awaitThaw(r.node) {
		return
	}
	if g.isDown(r.node) {
		if g.sleep(g.cfg.Delay) && !g.isCut(response) {
			answer <- reply{err: fmt.Errorf("dial %s: %w", r.node.info.Address, syscall.ECONNREFUSED)}
		}
		return
	}
	if !g.sleep(g.processingTime(r.node)) || !g.awaitThaw(r.node) || g.isDown(r.node) {
		return
	}
	g.mu.Lock()
	a := effect(r.node)
	fault := g.takeAnswerFaultLocked(c, r.node.info.ID)
	g.mu.Unlock()
	if fault.Lost || !g.sleep(fault.Late) || !g.sleep(g.cfg.Delay) || g.isCut(response) {
		return
	}
	answer <- a
}

// sleep waits for d and reports whether the group is still open.
func (g *Group) sleep(d time.Duration) bool {
	if d > 0 {
		time.Sleep(d)
	}
	select {
	case <-g.closed:
		return false
	default:
		return true
	}
}

// Info implements core.Upstream.
func (r *Remote) Info() core.UpstreamInfo { return r.node.info }

// Dial implements core.Upstream. It always fails; use Write and ReadAt instead.
func (r *Remote) Dial(context.Context) (core.Conn, error) { return nil, errNoDial }

// Status implements core.Upstream.
func (r *Remote) Status(ctx context.Context) (core.UpstreamStatus, error) {
	a, err := r.call(ctx, CallStatus, func(n *node) reply { return reply{status: n.status()} })
	return a.status, err
}

// Prepare implements core.Upstream. A primary of a lower term steps down.
func (r *Remote) Prepare(ctx context.Context, term core.Term) (core.UpstreamStatus, error) {
	a, err := r.call(ctx, CallPrepare, func(n *node) reply {
		if term <= n.promised && !r.group.cfg.AcceptAnyTerm {
			return reply{err: fmt.Errorf("prepare %d after %d: %w", term, n.promised, ErrTerm)}
		}
		n.promised = term
		n.role = core.RoleReplica
		n.following = ""
		return reply{status: n.status()}
	})
	return a.status, err
}

// Promote implements core.Upstream.
func (r *Remote) Promote(ctx context.Context, term core.Term) (core.UpstreamStatus, error) {
	a, err := r.call(ctx, CallPromote, func(n *node) reply {
		if n.promised != term && !r.group.cfg.AcceptAnyTerm {
			return reply{err: fmt.Errorf("promote %d after %d: %w", term, n.promised, ErrTerm)}
		}
		if n.role != core.RolePrimary || n.primaryTerm != term {
			n.role = core.RolePrimary
			n.primaryTerm = term
			n.following = ""
			n.log = append(n.log[:len(n.log):len(n.log)], Entry{Term: term})
			n.applied = len(n.log)
			r.group.recordPrimary(n)
		}
		return reply{status: n.status()}
	})
	return a.status, err
}

// Follow implements core.Upstream.
func (r *Remote) Follow(ctx context.Context, term core.Term, primary core.UpstreamInfo) (core.UpstreamStatus, error) {
	a, err := r.call(ctx, CallFollow, func(n *node) reply {
		if term < n.promised && !r.group.cfg.AcceptAnyTerm {
			return reply{err: fmt.Errorf("follow %d after %d: %w", term, n.promised, ErrTerm)}
		}
		if n.following != primary.ID || n.promised != term {
			n.heard = false
		}
		n.promised = term
		n.role = core.RoleReplica
		n.following = primary.ID
		return reply{status: n.status()}
	})
	return a.status, err
}

// Write commits a value for the key and returns its position, which isn't confirmed yet. After ErrReadOnly
// and ECONNREFUSED nothing was written; after other errors the outcome is unknown.
func (r *Remote) Write(ctx context.Context, key string, value int) (core.Position, error) {
	a, err := r.call(ctx, CallWrite, func(n *node) reply {
		if n.role != core.RolePrimary || n.promised != n.primaryTerm {
			return reply{err: ErrReadOnly}
		}
		n.log = append(n.log, Entry{Term: n.primaryTerm, Key: key, Value: value})
		n.applied = len(n.log)
		r.group.replicateLocked(n)
		return reply{status: n.status()}
	})
	return a.status.Log, err
}

// ReadAt returns the key's value as of the position, or 0. It fails if the upstream hasn't applied the
// position.
func (r *Remote) ReadAt(ctx context.Context, key string, p core.Position) (int, error) {
	a, err := r.call(ctx, CallRead, func(n *node) reply {
		if !position(n.log, n.applied).Covers(p) {
			return reply{err: fmt.Errorf("read at %s from %s", p, position(n.log, n.applied))}
		}
		for i := int(p.Offset) - 1; i >= 0; i-- {
			if n.log[i].Key == key {
				return reply{value: n.log[i].Value}
			}
		}
		return reply{}
	})
	return a.value, err
}

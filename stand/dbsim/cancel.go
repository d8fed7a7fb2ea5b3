package dbsim

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
)

// sessionKey identifies a session in a cancel request.
type sessionKey struct {
	pid, secret uint32
}

// register adds a session to those that cancel requests can address.
func (s *Server) register(ss *session) sessionKey {
	key := sessionKey{pid: s.lastPID.Add(1), secret: rand.Uint32()}
	s.sessions.Store(key, ss)
	return key
}

func (s *Server) unregister(key sessionKey) { s.sessions.Delete(key) }

// cancelStatement cancels the statement that the session is running, if any.
func (s *Server) cancelStatement(pid uint32, secret []byte) {
	if len(secret) != 4 {
		return
	}
	ss, ok := s.sessions.Load(sessionKey{pid: pid, secret: binary.BigEndian.Uint32(secret)})
	if !ok {
		return
	}
	ss.(*session).running.cancel()
}

// runningStatement allows the statement that a session runs to be canceled from another goroutine.
type runningStatement struct {
	mu   sync.Mutex
	stop context.CancelFunc
}

// start returns the context for a new statement.
func (r *runningStatement) start(ctx context.Context) context.Context {
	ctx, stop := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop = stop
	return ctx
}

// end releases the context of the statement.
func (r *runningStatement) end() { r.cancel() }

// cancel cancels the context of the statement, if one runs.
func (r *runningStatement) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
}

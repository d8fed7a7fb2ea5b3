package relay

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// Find returns the executor of an upstream that this entry VM owns or stands in for.
	Find func(id core.UpstreamID) (core.Executor, bool)
	Log  log.Logger
}

// Server runs requests that other entry VMs forward.
type Server struct {
	cfg      ServerConfig
	active   atomic.Int64
	draining atomic.Bool
	served   atomic.Int64
}

// NewServer returns a server that starts with Run.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Log == nil {
		cfg.Log = log.NewNopLogger()
	}
	return &Server{cfg: cfg}
}

// Name implements core.Service.
func (s *Server) Name() string { return "relay" }

// State is the server's part of a state dump.
type State struct {
	ActiveRequests int64
	ServedRequests int64
	Draining       bool
}

// Dump implements core.Dumper.
func (s *Server) Dump() any {
	return State{ActiveRequests: s.active.Load(), ServedRequests: s.served.Load(), Draining: s.draining.Load()}
}

// Active returns the number of requests and transactions in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// drainCheck is how often Drain looks whether the last request has ended.
const drainCheck = 10 * time.Millisecond

// Drain refuses new requests as not run and waits for the requests and transactions in progress. It
// returns ctx's error if they last longer.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for s.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Run accepts connections until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.cfg.Listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.cfg.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			cancel()
			return core.ErrPeer.Wrap(err)
		}
		wg.Go(func() { s.serve(ctx, conn) })
	}
}

// serve runs the requests of one connection, one after the other.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	requests := make(chan *Request)
	readEnd := make(chan error, 1)
	go func() { readEnd <- readRequests(ctx, cancel, conn, requests) }()
	p := &peerConn{server: s, conn: conn, out: bufio.NewWriter(conn)}
	p.enc = gob.NewEncoder(p.out)
	for r := range requests {
		if err := p.handle(ctx, r); err != nil {
			level.Debug(s.cfg.Log).Log("Msg", "relayed request ended with its connection", "Err", err)
			break
		}
	}
	p.closeTx()
	cancel()
	stop()
	_ = conn.Close()
	if err := <-readEnd; err != nil {
		level.Debug(s.cfg.Log).Log("Msg", "connection of an entry VM ended", "Err", err)
	}
}

// readRequests decodes frames until the connection ends, which cancels the request in progress.
func readRequests(ctx context.Context, cancel context.CancelFunc, conn net.Conn, requests chan<- *Request) error {
	defer close(requests)
	defer cancel()
	dec := gob.NewDecoder(bufio.NewReader(conn))
	for {
		var r Request
		if err := dec.Decode(&r); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		select {
		case requests <- &r:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// peerConn is the server's side of one connection.
type peerConn struct {
	server *Server
	conn   net.Conn
	tx     core.Tx

	// mu guards out and enc, which the heartbeat shares with the answer.
	mu  sync.Mutex
	out *bufio.Writer
	enc *gob.Encoder
}

func (p *peerConn) send(a *Answer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.conn.SetWriteDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return err
	}
	if err := p.enc.Encode(a); err != nil {
		return err
	}
	return p.out.Flush()
}

func (p *peerConn) closeTx() {
	if p.tx == nil {
		return
	}
	_ = p.tx.Close()
	p.tx = nil
	p.server.active.Add(-1)
}

// handle runs one request and sends its answer.
func (p *peerConn) handle(ctx context.Context, r *Request) error {
	if r.Ping {
		return p.send(&Answer{})
	}
	if r.Index {
		return p.send(p.index(ctx, r))
	}
	req, err := r.request()
	if err != nil {
		return p.send(&Answer{ID: r.ID, End: &End{Failure: newFailure(err, false)}})
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	beatEnd := make(chan error, 1)
	beatCtx, stopBeat := context.WithCancel(ctx)
	go func() { beatEnd <- p.heartbeat(beatCtx, r.ID) }()
	w := &answerWriter{peer: p, id: r.ID}
	res, err := p.run(ctx, r, req, w)
	stopBeat()
	if beatErr := <-beatEnd; beatErr != nil && !errors.Is(beatErr, context.Canceled) {
		level.Debug(p.server.cfg.Log).Log("Msg", "heartbeat failed", "Err", beatErr)
	}
	end := &End{Status: res.Status, Position: res.Position, Upstream: res.Upstream, SQL: res.Err}
	if err != nil {
		end.Failure = newFailure(err, req.Attempt.IsSent())
	}
	p.server.served.Add(1)
	return p.send(&Answer{ID: r.ID, Data: w.buf, End: end})
}

// index answers the question for a session's index.
func (p *peerConn) index(ctx context.Context, r *Request) *Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	exec, _ := p.server.cfg.Find(r.Upstream)
	indexer, ok := exec.(core.SessionIndexer)
	if !ok {
		return &Answer{ID: r.ID, End: &End{Failure: &Failure{Reason: "upstream " + string(r.Upstream) + " has no session index here"}}}
	}
	position, err := indexer.SessionIndex(ctx, r.Session)
	if err != nil {
		return &Answer{ID: r.ID, End: &End{Failure: newFailure(err, false)}}
	}
	return &Answer{ID: r.ID, End: &End{Position: position}}
}

// run passes the request to the open transaction or to the upstream's executor.
func (p *peerConn) run(ctx context.Context, r *Request, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if r.InTx {
		return p.runInTx(ctx, req, w)
	}
	if p.server.draining.Load() {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, "entry VM is stopping", 0)
	}
	exec, ok := p.server.cfg.Find(r.Upstream)
	if !ok {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, "upstream "+string(r.Upstream)+" is not known here", 0)
	}
	p.server.active.Add(1)
	res, err := exec.Execute(ctx, req, w)
	if err == nil && res.Tx != nil {
		p.tx = res.Tx
		return res, nil
	}
	p.server.active.Add(-1)
	return res, err
}

func (p *peerConn) runInTx(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if p.tx == nil {
		return core.Result{}, core.ErrPeer.New("no transaction is open on this connection")
	}
	res, err := p.tx.Run(ctx, req, w)
	if err != nil || res.Status == core.TxIdle {
		p.closeTx()
	}
	return res, err
}

// heartbeat sends signs of life until ctx ends.
func (p *peerConn) heartbeat(ctx context.Context, id uint64) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := p.send(&Answer{ID: id}); err != nil {
				return err
			}
		}
	}
}

// answerWriter collects the messages of an answer and sends full chunks.
type answerWriter struct {
	peer *peerConn
	id   uint64
	buf  []byte
}

// Send implements core.ResponseWriter.
func (w *answerWriter) Send(msg pgproto3.BackendMessage) error {
	var err error
	if w.buf, err = msg.Encode(w.buf); err != nil {
		return err
	}
	if len(w.buf) < chunkSize {
		return nil
	}
	data := w.buf
	w.buf = w.buf[:0]
	return w.peer.send(&Answer{ID: w.id, Data: data})
}

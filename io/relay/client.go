package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Dial opens a connection to another entry VM; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle is the number of idle connections kept for each entry VM; 0 means DefaultMaxIdle.
	MaxIdle int
}

const (
	// DefaultMaxIdle is the number of idle connections kept for each entry VM.
	DefaultMaxIdle = 32
	// IdleTimeout is how long an idle connection is kept. In a large fleet an entry VM forwards to
	// hundreds of others, most of which it rarely needs.
	IdleTimeout = 30 * time.Second
)

// Client opens connections to other entry VMs and keeps idle ones.
type Client struct {
	cfg ClientConfig
	mu  sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle map[string][]*clientConn
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = DefaultMaxIdle
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{cfg: cfg, idle: make(map[string][]*clientConn)}
}

// Name implements core.Service.
func (c *Client) Name() string { return "relay-client" }

// ClientState is the client's part of a state dump.
type ClientState struct {
	// Idle is the number of idle connections, Peers the number of entry VMs that they lead to.
	Idle, Peers int
}

// Dump implements core.Dumper.
func (c *Client) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := ClientState{Peers: len(c.idle)}
	for _, conns := range c.idle {
		s.Idle += len(conns)
	}
	return s
}

// Run closes connections that have been idle for IdleTimeout. When ctx ends, it closes all idle ones
// and returns nil.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(IdleTimeout / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return nil
		case now := <-ticker.C:
			c.expire(now)
		}
	}
}

// expire closes the connections that have been idle for IdleTimeout.
func (c *Client) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		old := 0
		for old < len(conns) && now.Sub(conns[old].lastUsed) >= IdleTimeout {
			conns[old].close()
			old++
		}
		c.idle[address] = conns[old:]
		if old == len(conns) {
			delete(c.idle, address)
		}
	}
}

// Executor returns an executor that forwards requests for the upstream to the entry VM.
func (c *Client) Executor(vm core.VM, upstream core.UpstreamID) core.Executor {
	return &executor{client: c, address: vm.Relay, upstream: upstream}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		for _, cc := range conns {
			cc.close()
		}
		delete(c.idle, address)
	}
}

// acquire returns an idle connection that still answers, or a new one.
func (c *Client) acquire(ctx context.Context, address string) (*clientConn, error) {
	for {
		cc := c.pop(address)
		if cc == nil {
			return c.dial(ctx, address)
		}
		if time.Since(cc.lastUsed) < IdleCheckAfter {
			return cc, nil
		}
		if err := cc.ping(); err == nil {
			return cc, nil
		}
		cc.close()
	}
}

func (c *Client) pop(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil
	}
	cc := conns[len(conns)-1]
	c.idle[address] = conns[:len(conns)-1]
	return cc
}

func (c *Client) put(cc *clientConn) {
	cc.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cc.address]) >= c.cfg.MaxIdle {
		cc.close()
		return
	}
	c.idle[cc.address] = append(c.idle[cc.address], cc)
}

func (c *Client) dial(ctx context.Context, address string) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, core.ErrPeer.Wrap(err)
	}
	out := bufio.NewWriter(conn)
	cc := &clientConn{
		address: address, conn: conn, out: out,
		enc: gob.NewEncoder(out), dec: gob.NewDecoder(bufio.NewReader(conn)),
	}
	cc.messages = pgproto3.NewFrontend(&cc.data, nil)
	return cc, nil
}

// clientConn is the client's side of one connection.
type clientConn struct {
	address  string
	conn     net.Conn
	out      *bufio.Writer
	enc      *gob.Encoder
	dec      *gob.Decoder
	lastUsed time.Time
	// data holds the received bytes that messages has not decoded yet.
	data     bytes.Buffer
	messages *pgproto3.Frontend
}

func (cc *clientConn) close() { _ = cc.conn.Close() }

func (cc *clientConn) send(r *Request) error {
	if err := cc.conn.SetWriteDeadline(time.Now().Add(HeartbeatTimeout)); err != nil {
		return err
	}
	if err := cc.enc.Encode(r); err != nil {
		return err
	}
	return cc.out.Flush()
}

func (cc *clientConn) receive() (*Answer, error) {
	if err := cc.conn.SetReadDeadline(time.Now().Add(HeartbeatTimeout)); err != nil {
		return nil, err
	}
	var a Answer
	if err := cc.dec.Decode(&a); err != nil {
		return nil, err
	}
	return &a, nil
}

// ping waits for the other side to answer an empty request.
func (cc *clientConn) ping() error {
	if err := cc.send(&Request{Ping: true}); err != nil {
		return err
	}
	_, err := cc.receive()
	return err
}

// run sends the request and forwards its answer to w.
func (cc *clientConn) run(ctx context.Context, req *core.Request, upstream core.UpstreamID, w core.ResponseWriter) (*End, error) {
	frame, err := newRequest(req, upstream)
	if err != nil {
		return nil, core.ErrPeer.Wrap(err)
	}
	req.Attempt.MarkSent()
	return cc.exchange(ctx, frame, w)
}

// exchange sends a frame and reads the frames of its answer. w may be nil if the answer has no data.
func (cc *clientConn) exchange(ctx context.Context, frame *Request, w core.ResponseWriter) (*End, error) {
	stop := context.AfterFunc(ctx, cc.close)
	defer stop()
	if err := cc.send(frame); err != nil {
		return nil, core.ErrPeer.Wrap(err)
	}
	for {
		a, err := cc.receive()
		if err != nil {
			return nil, core.ErrPeer.Wrap(err)
		}
		if a.ID != frame.ID {
			continue
		}
		if err := cc.forward(a.Data, w); err != nil {
			return nil, err
		}
		if a.End == nil {
			continue
		}
		if !stop() {
			return nil, core.ErrPeer.Wrap(context.Cause(ctx))
		}
		return a.End, nil
	}
}

// forward decodes the backend messages in data and sends them to w. The data must end with a whole
// message.
func (cc *clientConn) forward(data []byte, w core.ResponseWriter) error {
	cc.data.Write(data)
	for cc.data.Len() > 0 || cc.messages.ReadBufferLen() > 0 {
		msg, err := cc.messages.Receive()
		if err != nil {
			return core.ErrPeer.New("answer is damaged: %v", err)
		}
		if err := w.Send(msg); err != nil {
			return err
		}
	}
	return nil
}

// executor forwards requests for one upstream to one entry VM.
type executor struct {
	client   *Client
	address  string
	upstream core.UpstreamID
}

// Execute forwards the request. If it fails before anything was sent, req.Attempt isn't marked as sent.
func (e *executor) Execute(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	cc, err := e.client.acquire(ctx, e.address)
	if err != nil {
		return core.Result{}, err
	}
	return e.client.runOn(ctx, cc, req, e.upstream, w)
}

// SessionIndex implements core.SessionIndexer by asking the entry VM that owns the primary. ctx must
// have a deadline, which is passed on as the time left.
func (e *executor) SessionIndex(ctx context.Context, session core.SessionID) (core.Position, error) {
	cc, err := e.client.acquire(ctx, e.address)
	if err != nil {
		return core.Position{}, err
	}
	deadline, _ := ctx.Deadline()
	frame := &Request{Index: true, Upstream: e.upstream, Session: session, Remaining: time.Until(deadline)}
	end, err := cc.exchange(ctx, frame, nil)
	if err != nil {
		cc.close()
		return core.Position{}, err
	}
	e.client.put(cc)
	if end.Failure != nil {
		return core.Position{}, core.ErrPeer.New("%s", end.Failure.Reason)
	}
	return end.Position, nil
}

// runOn runs the request on the connection. Afterwards the connection is idle, belongs to the open
// transaction in the result, or is closed because of an error.
func (c *Client) runOn(ctx context.Context, cc *clientConn, req *core.Request, upstream core.UpstreamID, w core.ResponseWriter) (core.Result, error) {
	end, err := cc.run(ctx, req, upstream, w)
	if err != nil {
		cc.close()
		return core.Result{}, err
	}
	if end.Failure != nil {
		c.put(cc)
		return core.Result{}, end.Failure.err(req)
	}
	res := core.Result{Status: end.Status, Position: end.Position, Upstream: end.Upstream, Err: end.SQL}
	if end.Status == core.TxIdle {
		c.put(cc)
		return res, nil
	}
	res.Tx = &tx{client: c, conn: cc, upstream: upstream}
	return res, nil
}

// tx is an open transaction on another entry VM. No other request uses its connection.
type tx struct {
	client   *Client
	conn     *clientConn
	upstream core.UpstreamID
	closed   bool
}

// Run forwards the next request of the transaction.
func (t *tx) Run(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if t.closed {
		return core.Result{}, core.ErrPeer.New("transaction is closed")
	}
	req.InTx = true
	res, err := t.client.runOn(ctx, t.conn, req, t.upstream, w)
	if err != nil || res.Status == core.TxIdle {
		t.closed = true
		return res, err
	}
	res.Tx = t
	return res, nil
}

// Close closes the connection, which makes the other entry VM roll the transaction back.
func (t *tx) Close() error {
	if t.closed {
		return nil
	}
	t.closed = true
	if err := t.conn.conn.Close(); err != nil {
		return fmt.Errorf("close relayed transaction: %w", err)
	}
	return nil
}

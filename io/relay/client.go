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
	// IdleTime is how long an idle connection is kept. In a large fleet an entry VM forwards to
	// hundreds of others, to most of them seldom.
	IdleTime = 30 * time.Second
)

// Client opens connections to other entry VMs and keeps idle ones.
type Client struct {
	cfg ClientConfig
	mu  sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle map[string][]*link
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
	return &Client{cfg: cfg, idle: make(map[string][]*link)}
}

// Name implements core.Service.
func (c *Client) Name() string { return "relay-client" }

// ClientState is the client's part of a state dump.
type ClientState struct {
	// Idle is the number of idle connections, Peers of the entry VMs that they lead to.
	Idle, Peers int
}

// Dump implements core.Dumper.
func (c *Client) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := ClientState{Peers: len(c.idle)}
	for _, links := range c.idle {
		s.Idle += len(links)
	}
	return s
}

// Run closes connections that were idle for too long, until ctx ends, and then all idle ones.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(IdleTime / 3)
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

// expire closes the connections that were not used since IdleTime.
func (c *Client) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, links := range c.idle {
		old := 0
		for old < len(links) && now.Sub(links[old].lastUsed) >= IdleTime {
			links[old].close()
			old++
		}
		c.idle[address] = links[old:]
		if old == len(links) {
			delete(c.idle, address)
		}
	}
}

// Executor returns an executor that forwards to the entry VM for the upstream.
func (c *Client) Executor(vm core.VM, upstream core.UpstreamID) core.Executor {
	return &executor{client: c, address: vm.Relay, upstream: upstream}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, links := range c.idle {
		for _, l := range links {
			l.close()
		}
		delete(c.idle, address)
	}
}

// take returns a connection that is known to answer.
func (c *Client) take(ctx context.Context, address string) (*link, error) {
	for {
		l := c.pop(address)
		if l == nil {
			return c.dial(ctx, address)
		}
		if time.Since(l.lastUsed) < IdleCheck {
			return l, nil
		}
		if err := l.ping(); err == nil {
			return l, nil
		}
		l.close()
	}
}

func (c *Client) pop(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	links := c.idle[address]
	if len(links) == 0 {
		return nil
	}
	l := links[len(links)-1]
	c.idle[address] = links[:len(links)-1]
	return l
}

func (c *Client) put(l *link) {
	l.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[l.address]) >= c.cfg.MaxIdle {
		l.close()
		return
	}
	c.idle[l.address] = append(c.idle[l.address], l)
}

func (c *Client) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, core.ErrPeer.Wrap(err)
	}
	out := bufio.NewWriter(conn)
	l := &link{
		address: address, conn: conn, out: out,
		enc: gob.NewEncoder(out), dec: gob.NewDecoder(bufio.NewReader(conn)),
	}
	l.messages = pgproto3.NewFrontend(&l.data, nil)
	return l, nil
}

// link is one connection to another entry VM.
type link struct {
	address  string
	conn     net.Conn
	out      *bufio.Writer
	enc      *gob.Encoder
	dec      *gob.Decoder
	lastUsed time.Time
	// data holds the bytes of the answer that messages decodes.
	data     bytes.Buffer
	messages *pgproto3.Frontend
}

func (l *link) close() { _ = l.conn.Close() }

func (l *link) send(r *Request) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return err
	}
	if err := l.enc.Encode(r); err != nil {
		return err
	}
	return l.out.Flush()
}

func (l *link) receive() (*Answer, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return nil, err
	}
	var a Answer
	if err := l.dec.Decode(&a); err != nil {
		return nil, err
	}
	return &a, nil
}

// ping checks that the other side answers.
func (l *link) ping() error {
	if err := l.send(&Request{Ping: true}); err != nil {
		return err
	}
	_, err := l.receive()
	return err
}

// run sends the request and passes the answer on until its end.
func (l *link) run(ctx context.Context, req *core.Request, upstream core.UpstreamID, w core.ResponseWriter) (*End, error) {
	frame, err := newRequest(req, upstream)
	if err != nil {
		return nil, core.ErrPeer.Wrap(err)
	}
	req.Attempt.MarkSent()
	return l.exchange(ctx, frame, w)
}

// exchange sends a frame and reads the frames of its answer; w may be nil if there is no data.
func (l *link) exchange(ctx context.Context, frame *Request, w core.ResponseWriter) (*End, error) {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	if err := l.send(frame); err != nil {
		return nil, core.ErrPeer.Wrap(err)
	}
	for {
		a, err := l.receive()
		if err != nil {
			return nil, core.ErrPeer.Wrap(err)
		}
		if a.ID != frame.ID {
			continue
		}
		if err := l.passOn(a.Data, w); err != nil {
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

// passOn decodes whole backend messages and hands them to w.
func (l *link) passOn(data []byte, w core.ResponseWriter) error {
	l.data.Write(data)
	for l.data.Len() > 0 || l.messages.ReadBufferLen() > 0 {
		msg, err := l.messages.Receive()
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

// Execute forwards the request. An error before anything was sent leaves req.Attempt unmarked.
func (e *executor) Execute(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	l, err := e.client.take(ctx, e.address)
	if err != nil {
		return core.Result{}, err
	}
	return e.client.finish(ctx, l, req, e.upstream, w)
}

// SessionIndex asks the entry VM that owns the primary; see core.SessionIndexer. It has the time until
// ctx's deadline.
func (e *executor) SessionIndex(ctx context.Context, session core.SessionID) (core.Position, error) {
	l, err := e.client.take(ctx, e.address)
	if err != nil {
		return core.Position{}, err
	}
	deadline, _ := ctx.Deadline()
	frame := &Request{Index: true, Upstream: e.upstream, Session: session, Remaining: time.Until(deadline)}
	end, err := l.exchange(ctx, frame, nil)
	if err != nil {
		l.close()
		return core.Position{}, err
	}
	e.client.put(l)
	if end.Failure != nil {
		return core.Position{}, core.ErrPeer.New("%s", end.Failure.Reason)
	}
	return end.Position, nil
}

// finish runs the request on the connection and decides what becomes of the connection.
func (c *Client) finish(ctx context.Context, l *link, req *core.Request, upstream core.UpstreamID, w core.ResponseWriter) (core.Result, error) {
	end, err := l.run(ctx, req, upstream, w)
	if err != nil {
		l.close()
		return core.Result{}, err
	}
	if end.Failure != nil {
		c.put(l)
		return core.Result{}, end.Failure.err(req)
	}
	res := core.Result{Status: end.Status, Position: end.Position, Upstream: end.Upstream, Err: end.SQL}
	if end.Status == core.TxIdle {
		c.put(l)
		return res, nil
	}
	res.Tx = &tx{client: c, link: l, upstream: upstream}
	return res, nil
}

// tx is a transaction on another entry VM. It owns its connection.
type tx struct {
	client   *Client
	link     *link
	upstream core.UpstreamID
	closed   bool
}

// Run forwards the next request of the transaction.
func (t *tx) Run(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if t.closed {
		return core.Result{}, core.ErrPeer.New("transaction is closed")
	}
	req.InTx = true
	res, err := t.client.finish(ctx, t.link, req, t.upstream, w)
	if err != nil || res.Status == core.TxIdle {
		t.closed = true
		return res, err
	}
	res.Tx = t
	return res, nil
}

// Close closes the connection, which rolls the transaction back.
func (t *tx) Close() error {
	if t.closed {
		return nil
	}
	t.closed = true
	if err := t.link.conn.Close(); err != nil {
		return fmt.Errorf("close relayed transaction: %w", err)
	}
	return nil
}

package ctrl

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/peers"
)

// Defaults of ClientConfig.
const (
	defaultMaxIdle     = 64
	defaultIdleTimeout = time.Minute
	defaultCallTimeout = 5 * time.Second
)

// Dialer opens a connection to a control address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Dial opens connections; nil means TCP.
	Dial Dialer
	// MaxIdle is the number of idle connections kept for all addresses together; 0 means 64.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; 0 means 1 min. It must be shorter than the
	// server's, so that the server doesn't close a connection that the client is about to use.
	IdleTimeout time.Duration
	// CallTimeout limits each call, in addition to its context's deadline; 0 means 5 s.
	CallTimeout time.Duration
}

// Client makes control calls to other entry VMs and keeps idle connections. It is safe for concurrent
// use.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	closed bool
	// idle holds the *idleConn of all addresses, the most recently used one first.
	idle *list.List
	// byAddress holds the elements of idle by address, the most recently used one last.
	byAddress map[string][]*list.Element
}

var _ peers.Transport = (*Client)(nil)

// idleConn is a connection that can be kept between two calls.
type idleConn struct {
	address   string
	conn      net.Conn
	rpc       *rpc.Client
	idleSince time.Time
}

// NewClient returns a Client. It opens no connection before the first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		var d net.Dialer
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.MaxIdle <= 0 {
		cfg.MaxIdle = defaultMaxIdle
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	return &Client{cfg: cfg, idle: list.New(), byAddress: make(map[string][]*list.Element)}
}

// Close closes the idle connections. Calls in progress continue, and close their connections afterwards.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for c.idle.Len() > 0 {
		c.drop(c.idle.Back())
	}
	return nil
}

// Call calls the method at the address. The answer must not be used after an error. All errors have the
// class core.ErrPeer; an error that the method returned is also an rpc.ServerError.
func (c *Client) Call(ctx context.Context, address, method string, req, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	conn := c.acquire(address)
	if conn != nil {
		err := c.run(ctx, conn, method, req, answer)
		if err == nil || !isBroken(err) || ctx.Err() != nil {
			return wrap(address, err)
		}
		// The other side may have closed the connection while it was idle. Retrying on a new connection
		// is safe, since all control calls may be repeated.
	}
	raw, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return wrap(address, err)
	}
	conn = &idleConn{address: address, conn: raw, rpc: rpc.NewClient(raw)}
	return wrap(address, c.run(ctx, conn, method, req, answer))
}

func wrap(address string, err error) error {
	if err == nil {
		return nil
	}
	return core.ErrPeer.New("%s: %w", address, err)
}

// isBroken reports whether the connection can't be used anymore after the error. An error that the
// method returned leaves it usable.
func isBroken(err error) bool {
	var fromMethod rpc.ServerError
	return err != nil && !errors.As(err, &fromMethod)
}

// run makes one call on the connection. Afterwards the connection is idle, or closed if it failed.
func (c *Client) run(ctx context.Context, conn *idleConn, method string, req, answer any) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.conn.SetDeadline(deadline); err != nil {
			_ = conn.rpc.Close()
			return err
		}
	}
	call := conn.rpc.Go(method, req, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		// Closing the connection ends the call, so that nothing writes to answer after the return.
		_ = conn.rpc.Close()
		<-call.Done
		return ctx.Err()
	}
	if isBroken(call.Error) {
		_ = conn.rpc.Close()
		return call.Error
	}
	c.release(conn)
	return call.Error
}

// acquire removes an idle connection to the address and returns it, or nil if there is none.
func (c *Client) acquire(address string) *idleConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		conns := c.byAddress[address]
		if len(conns) == 0 {
			return nil
		}
		element := conns[len(conns)-1]
		conn := element.Value.(*idleConn)
		if time.Since(conn.idleSince) >= c.cfg.IdleTimeout {
			c.drop(element)
			continue
		}
		c.remove(element)
		return conn
	}
}

// release makes the connection idle, and closes connections above the limit or idle for too long.
func (c *Client) release(conn *idleConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// net/rpc always has a read in progress, so a deadline that passes while the connection is idle would
	// break the connection.
	if c.closed || conn.conn.SetDeadline(time.Time{}) != nil {
		_ = conn.rpc.Close()
		return
	}
	conn.idleSince = time.Now()
	c.byAddress[conn.address] = append(c.byAddress[conn.address], c.idle.PushFront(conn))
	for c.idle.Len() > 0 {
		oldest := c.idle.Back()
		if c.idle.Len() <= c.cfg.MaxIdle && time.Since(oldest.Value.(*idleConn).idleSince) < c.cfg.IdleTimeout {
			return
		}
		c.drop(oldest)
	}
}

// drop closes an idle connection. The caller holds mu.
func (c *Client) drop(element *list.Element) {
	c.remove(element)
	_ = element.Value.(*idleConn).rpc.Close()
}

// remove deletes a connection from the idle ones. The caller holds mu.
func (c *Client) remove(element *list.Element) {
	address := element.Value.(*idleConn).address
	c.idle.Remove(element)
	conns := c.byAddress[address]
	for i, e := range conns {
		if e == element {
			conns = append(conns[:i], conns[i+1:]...)
			break
		}
	}
	c.byAddress[address] = conns
	if len(conns) == 0 {
		delete(c.byAddress, address)
	}
}

// Ping implements peers.Transport.
func (c *Client) Ping(ctx context.Context, address string, req *peers.PingRequest) (*peers.PingAnswer, error) {
	answer := new(peers.PingAnswer)
	return answer, c.Call(ctx, address, "Peers.Ping", req, answer)
}

// Probe implements peers.Transport.
func (c *Client) Probe(ctx context.Context, address string, req *peers.ProbeRequest) (*peers.ProbeAnswer, error) {
	answer := new(peers.ProbeAnswer)
	return answer, c.Call(ctx, address, "Peers.Probe", req, answer)
}

// Sync implements peers.Transport.
func (c *Client) Sync(ctx context.Context, address string, req *peers.SyncRequest) (*peers.SyncAnswer, error) {
	answer := new(peers.SyncAnswer)
	return answer, c.Call(ctx, address, "Peers.Sync", req, answer)
}

// Table implements peers.Transport.
func (c *Client) Table(ctx context.Context, address string, req *peers.TableRequest) (*peers.TableAnswer, error) {
	answer := new(peers.TableAnswer)
	return answer, c.Call(ctx, address, "Peers.Table", req, answer)
}

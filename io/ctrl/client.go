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
	defaultIdleTime    = time.Minute
	defaultCallTimeout = 5 * time.Second
)

// Dialer opens a connection to a control address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Dial opens connections; nil means TCP.
	Dial Dialer
	// MaxIdle limits the idle connections to all members, 64 if 0.
	MaxIdle int
	// IdleTime is how long an idle connection is kept, 1 min if 0. It must be below the server's.
	IdleTime time.Duration
	// CallTimeout limits calls whose context has no deadline, 5 s if 0.
	CallTimeout time.Duration
}

// Client makes control calls to other entry VMs. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	closed bool
	// idle holds *idleConn, the one that was used last in front.
	idle      *list.List
	byAddress map[string][]*list.Element
}

var _ peers.Transport = (*Client)(nil)

// idleConn is a connection between two calls.
type idleConn struct {
	address string
	conn    net.Conn
	rpc     *rpc.Client
	since   time.Time
}

// NewClient returns a Client without connections.
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
	if cfg.IdleTime <= 0 {
		cfg.IdleTime = defaultIdleTime
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	return &Client{cfg: cfg, idle: list.New(), byAddress: make(map[string][]*list.Element)}
}

// Close closes the idle connections. Calls under way end with their contexts.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for c.idle.Len() > 0 {
		c.drop(c.idle.Back())
	}
	return nil
}

// Call calls the method at the address. The answer must not be used after an error. An error that
// the method returned is an rpc.ServerError; all errors are of class core.ErrPeer.
func (c *Client) Call(ctx context.Context, address, method string, req, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	conn := c.take(address)
	if conn != nil {
		err := c.run(ctx, conn, method, req, answer)
		if err == nil || !isBroken(err) || ctx.Err() != nil {
			return wrap(address, err)
		}
		// The other side may have closed the connection while it was idle. Control calls may be repeated.
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

// isBroken reports whether the connection can't be used anymore.
func isBroken(err error) bool {
	var fromMethod rpc.ServerError
	return err != nil && !errors.As(err, &fromMethod)
}

// run makes one call on the connection and keeps the connection afterwards if it still works.
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
		// Closing the connection ends the call, so that answer isn't written to after the return.
		_ = conn.rpc.Close()
		<-call.Done
		return ctx.Err()
	}
	if isBroken(call.Error) {
		_ = conn.rpc.Close()
		return call.Error
	}
	c.keep(conn)
	return call.Error
}

// take returns an idle connection to the address, or nil.
func (c *Client) take(address string) *idleConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		conns := c.byAddress[address]
		if len(conns) == 0 {
			return nil
		}
		element := conns[len(conns)-1]
		conn := element.Value.(*idleConn)
		if time.Since(conn.since) >= c.cfg.IdleTime {
			c.drop(element)
			continue
		}
		c.remove(element)
		return conn
	}
}

// keep makes the connection idle and closes the oldest ones above the limit.
func (c *Client) keep(conn *idleConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A deadline that passes while the connection is idle would end net/rpc's reader.
	if c.closed || conn.conn.SetDeadline(time.Time{}) != nil {
		_ = conn.rpc.Close()
		return
	}
	conn.since = time.Now()
	c.byAddress[conn.address] = append(c.byAddress[conn.address], c.idle.PushFront(conn))
	for c.idle.Len() > 0 {
		oldest := c.idle.Back()
		if c.idle.Len() <= c.cfg.MaxIdle && time.Since(oldest.Value.(*idleConn).since) < c.cfg.IdleTime {
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

// remove takes a connection out of the idle ones. The caller holds mu.
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

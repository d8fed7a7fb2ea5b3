package memnet

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link is a one-way connection between two hosts.
type link struct {
	from, to string
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[link]bool
	delays    map[link]time.Duration
	delay     time.Duration
	conns     map[*conn]struct{}
	// changed is closed and replaced when a link is cut or healed.
	changed chan struct{}
}

// New returns a network without hosts, on which links are open and have no delay.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		cut:       make(map[link]bool),
		delays:    make(map[link]time.Duration),
		conns:     make(map[*conn]struct{}),
		changed:   make(chan struct{}),
	}
}

// address is a net.Addr.
type address string

// Network implements net.Addr.
func (address) Network() string { return "mem" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// SetDelay sets the one-way delay of all links that have none of their own.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// SetLinkDelay sets the delay of the links between two hosts, in each direction.
func (n *Network) SetLinkDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[link{a, b}] = d
	n.delays[link{b, a}] = d
}

// Cut holds back all data from one host to the other, one way.
func (n *Network) Cut(from, to string) { n.setCut(true, link{from, to}) }

// Heal ends a Cut.
func (n *Network) Heal(from, to string) { n.setCut(false, link{from, to}) }

// CutBoth holds back all data between two hosts.
func (n *Network) CutBoth(a, b string) { n.setCut(true, link{a, b}, link{b, a}) }

// HealBoth ends a CutBoth.
func (n *Network) HealBoth(a, b string) { n.setCut(false, link{a, b}, link{b, a}) }

func (n *Network) setCut(cut bool, links ...link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.cut[l] = cut
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Silence makes the open connections between two hosts drop all data for good. New connections
// work.
func (n *Network) Silence(a, b string) {
	for _, c := range n.between(func(l link) bool { return l == link{a, b} || l == link{b, a} }) {
		c.out.silence()
	}
}

// Crash closes the listeners of the host and resets its connections. The other sides notice it as
// soon as their links are open.
func (n *Network) Crash(host string) {
	n.mu.Lock()
	var listeners []*listener
	for addr, lis := range n.listeners {
		if hostOf(addr) == host {
			listeners = append(listeners, lis)
		}
	}
	n.mu.Unlock()
	for _, lis := range listeners {
		_ = lis.Close()
	}
	for _, c := range n.between(func(l link) bool { return l.from == host }) {
		_ = c.Close()
	}
}

func (n *Network) between(match func(link) bool) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var conns []*conn
	for c := range n.conns {
		if match(c.out.link) {
			conns = append(conns, c)
		}
	}
	return conns
}

// state returns whether the link is open, its delay and a channel that is closed at the next change.
func (n *Network) state(l link) (open bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.delays[l]
	if !ok {
		d = n.delay
	}
	return !n.cut[l], d, n.changed
}

// Listen opens a listener. The address is HOST:PORT with any port.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[addr]; ok {
		return nil, &net.OpError{Op: "listen", Net: "mem", Addr: address(addr), Err: syscall.EADDRINUSE}
	}
	lis := &listener{n: n, addr: addr, queue: make(chan *conn), closed: make(chan struct{})}
	n.listeners[addr] = lis
	return lis, nil
}

// Dialer returns a function that opens connections from the host, as a dbconn.Config takes it.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, from, addr) }
}

// Dial opens a connection from the host. While a link between the hosts is cut, it waits until ctx
// ends.
func (n *Network) Dial(ctx context.Context, from, addr string) (net.Conn, error) {
	out := link{from, hostOf(addr)}
	back := link{out.to, out.from}
	if err := n.cross(ctx, out); err != nil {
		return nil, dialError(addr, err)
	}
	n.mu.Lock()
	lis, ok := n.listeners[addr]
	n.mu.Unlock()
	if !ok {
		return nil, dialError(addr, syscall.ECONNREFUSED)
	}
	near, far := n.pair(out, address(addr))
	select {
	case lis.queue <- far:
	case <-lis.closed:
		near.abandon(far)
		return nil, dialError(addr, syscall.ECONNREFUSED)
	case <-ctx.Done():
		near.abandon(far)
		return nil, dialError(addr, ctx.Err())
	}
	if err := n.cross(ctx, back); err != nil {
		near.abandon(far)
		return nil, dialError(addr, err)
	}
	return near, nil
}

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "mem", Addr: address(addr), Err: err}
}

// cross waits as long as a packet takes on the link.
func (n *Network) cross(ctx context.Context, l link) error {
	for {
		open, delay, changed := n.state(l)
		var arrived <-chan time.Time
		if open {
			if delay == 0 {
				return ctx.Err()
			}
			timer := time.NewTimer(delay)
			defer timer.Stop()
			arrived = timer.C
			changed = nil
		}
		select {
		case <-arrived:
			return nil
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// listener implements net.Listener.
type listener struct {
	n      *Network
	addr   string
	queue  chan *conn
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, fmt.Errorf("accept on %s: %w", l.addr, net.ErrClosed)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		delete(l.n.listeners, l.addr)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

// errTimeout is the error of a deadline that has passed.
var errTimeout = os.ErrDeadlineExceeded

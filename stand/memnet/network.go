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

// link is one direction of the traffic between two hosts.
type link struct {
	from, to string
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu           sync.Mutex
	listeners    map[string]*listener
	cut          map[link]bool
	linkDelays   map[link]time.Duration
	defaultDelay time.Duration
	conns        map[*conn]struct{}
	// changed is closed and replaced when a link is cut or healed.
	changed chan struct{}
}

// New returns a network without listeners, on which all links are open and have no delay.
func New() *Network {
	return &Network{
		listeners:  make(map[string]*listener),
		cut:        make(map[link]bool),
		linkDelays: make(map[link]time.Duration),
		conns:      make(map[*conn]struct{}),
		changed:    make(chan struct{}),
	}
}

// address is the HOST:PORT of a listener or the host of a dialer. It implements net.Addr.
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

// SetDelay sets the one-way delay of all links for which SetLinkDelay set none.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.defaultDelay = d
}

// SetLinkDelay sets the one-way delay of both links between two hosts.
func (n *Network) SetLinkDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkDelays[link{a, b}] = d
	n.linkDelays[link{b, a}] = d
}

// Cut holds back all data from one host to the other until Heal. The other direction is not affected.
func (n *Network) Cut(from, to string) { n.setCut(true, link{from, to}) }

// Heal undoes Cut. The data that was held back arrives.
func (n *Network) Heal(from, to string) { n.setCut(false, link{from, to}) }

// CutBoth cuts both links between two hosts.
func (n *Network) CutBoth(a, b string) { n.setCut(true, link{a, b}, link{b, a}) }

// HealBoth heals both links between two hosts.
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

// Silence makes the open connections between two hosts drop all data permanently, without an error on
// either side. Closing one end is still seen by the other. New connections are not affected.
func (n *Network) Silence(a, b string) {
	for _, c := range n.findConns(func(l link) bool { return l == link{a, b} || l == link{b, a} }) {
		c.out.silence()
	}
}

// Crash closes the listeners and the connections of the host. The other hosts see their connections closed
// once the links from the crashed host are open.
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
	for _, c := range n.findConns(func(l link) bool { return l.from == host }) {
		_ = c.Close()
	}
}

func (n *Network) findConns(match func(link) bool) []*conn {
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

// linkState returns whether the link is open, its delay and a channel that is closed at the next cut or
// heal of any link.
func (n *Network) linkState(l link) (open bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.linkDelays[l]
	if !ok {
		d = n.defaultDelay
	}
	return !n.cut[l], d, n.changed
}

// Listen opens a listener on HOST:PORT, with any host and port. It fails with EADDRINUSE if the address
// already has a listener.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[addr]; ok {
		return nil, &net.OpError{Op: "listen", Net: "mem", Addr: address(addr), Err: syscall.EADDRINUSE}
	}
	lis := &listener{n: n, addr: addr, incoming: make(chan *conn), closed: make(chan struct{})}
	n.listeners[addr] = lis
	return lis, nil
}

// Dialer returns a function that opens connections from the host, as a dbconn.Config takes it.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, from, addr) }
}

// Dial opens a connection from the host. While a link between the hosts is cut, it blocks, at most until
// ctx ends. Without a listener on the address, it fails with ECONNREFUSED.
func (n *Network) Dial(ctx context.Context, from, addr string) (net.Conn, error) {
	out := link{from, hostOf(addr)}
	back := link{out.to, out.from}
	if err := n.awaitTransit(ctx, out); err != nil {
		return nil, dialError(addr, err)
	}
	n.mu.Lock()
	lis, ok := n.listeners[addr]
	n.mu.Unlock()
	if !ok {
		return nil, dialError(addr, syscall.ECONNREFUSED)
	}
	near, far := n.newConnPair(out, address(addr))
	select {
	case lis.incoming <- far:
	case <-lis.closed:
		near.closeBoth(far)
		return nil, dialError(addr, syscall.ECONNREFUSED)
	case <-ctx.Done():
		near.closeBoth(far)
		return nil, dialError(addr, ctx.Err())
	}
	if err := n.awaitTransit(ctx, back); err != nil {
		near.closeBoth(far)
		return nil, dialError(addr, err)
	}
	return near, nil
}

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "mem", Addr: address(addr), Err: err}
}

// awaitTransit waits until the link is open, and then for its delay.
func (n *Network) awaitTransit(ctx context.Context, l link) error {
	for {
		open, delay, changed := n.linkState(l)
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
	n        *Network
	addr     string
	incoming chan *conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
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

// errTimeout is returned by reads and writes after their deadline.
var errTimeout = os.ErrDeadlineExceeded

package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"snipewall/stand/dbsim"
)

// linkProxy is a TCP proxy between an entry VM and an upstream. It can hold back traffic in one or both
// directions.
type linkProxy struct {
	address string
	ln      net.Listener
	target  string

	mu sync.Mutex
	// open holds a channel for each direction, which is closed while traffic may pass.
	open  [2]chan struct{}
	conns map[net.Conn]bool
}

const (
	toUpstream = iota
	fromUpstream
)

func newLinkProxy(t *testing.T, target string) *linkProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &linkProxy{address: ln.Addr().String(), ln: ln, target: target, conns: make(map[net.Conn]bool)}
	for i := range p.open {
		p.open[i] = make(chan struct{})
		close(p.open[i])
	}
	var serving sync.WaitGroup
	serving.Go(func() { p.serve(&serving) })
	t.Cleanup(func() {
		_ = ln.Close()
		p.heal()
		p.mu.Lock()
		for c := range p.conns {
			_ = c.Close()
		}
		p.mu.Unlock()
		serving.Wait()
	})
	return p
}

func (p *linkProxy) serve(serving *sync.WaitGroup) {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		serving.Go(func() { p.forward(c) })
	}
}

// forward connects to the target and copies both directions.
func (p *linkProxy) forward(c net.Conn) {
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		// The entry VM's dial has already succeeded, so that closing the connection is the nearest
		// equivalent of refusing it.
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(up, c, toUpstream) })
	copies.Go(func() { p.copy(c, up, fromUpstream) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy copies one direction until either connection ends.
func (p *linkProxy) copy(dst, src net.Conn, direction int) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		open := p.open[direction]
		p.mu.Unlock()
		<-open
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut holds back traffic in the given directions until heal, which delivers it.
func (p *linkProxy) cut(directions ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, direction := range directions {
		p.open[direction] = make(chan struct{})
	}
}

// heal lets traffic pass in both directions.
func (p *linkProxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, open := range p.open {
		select {
		case <-open:
		default:
			close(open)
		}
	}
}

func (c *cluster) openLinks() {
	if !c.opts.links {
		return
	}
	for range c.vms {
		var row []*linkProxy
		for _, address := range c.upstreams {
			row = append(row, newLinkProxy(c.t, address))
		}
		c.links = append(c.links, row)
	}
}

// fault sets a fault of an upstream's simulator.
func (c *cluster) fault(i int, name, value string) {
	c.t.Helper()
	form := url.Values{"name": {name}, "value": {value}}
	res, err := http.PostForm("http://"+c.admins[i]+"/fault", form)
	assert.NilError(c.t, err)
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	assert.Equal(c.t, res.StatusCode, http.StatusOK, string(text))
}

// platformFault sets a fault of the platform's simulator.
func (c *cluster) platformFault(name, value string) {
	c.t.Helper()
	c.put(fmt.Sprintf("/v1/fault/%s?value=%s", name, url.QueryEscape(value)), nil)
}

// stats returns the statistics of an upstream's simulator.
func (c *cluster) stats(i int) dbsim.Stats {
	c.t.Helper()
	var s dbsim.Stats
	assert.NilError(c.t, c.get("http://"+c.admins[i]+"/status", &s))
	return s
}

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

// wire forwards the connections from one entry VM to one upstream, and can hold back their traffic.
type wire struct {
	address string
	ln      net.Listener
	target  string

	mu sync.Mutex
	// open is closed while traffic passes in the direction: to the upstream, and back.
	open  [2]chan struct{}
	conns map[net.Conn]bool
}

const (
	toUpstream = iota
	fromUpstream
)

func newWire(t *testing.T, target string) *wire {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &wire{address: ln.Addr().String(), ln: ln, target: target, conns: make(map[net.Conn]bool)}
	for i := range w.open {
		w.open[i] = make(chan struct{})
		close(w.open[i])
	}
	var serving sync.WaitGroup
	serving.Go(func() { w.serve(&serving) })
	t.Cleanup(func() {
		_ = ln.Close()
		w.heal()
		w.mu.Lock()
		for c := range w.conns {
			_ = c.Close()
		}
		w.mu.Unlock()
		serving.Wait()
	})
	return w
}

func (w *wire) serve(serving *sync.WaitGroup) {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		serving.Go(func() { w.forward(c) })
	}
}

// forward opens the other half of a connection and copies both directions.
func (w *wire) forward(c net.Conn) {
	up, err := net.Dial("tcp", w.target)
	if err != nil {
		// A reset is what a caller of a port without a listener sees on its first use.
		_ = c.Close()
		return
	}
	w.mu.Lock()
	w.conns[c], w.conns[up] = true, true
	w.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { w.copy(up, c, toUpstream) })
	copies.Go(func() { w.copy(c, up, fromUpstream) })
	copies.Wait()
	w.mu.Lock()
	delete(w.conns, c)
	delete(w.conns, up)
	w.mu.Unlock()
}

// copy copies one direction until either half ends.
func (w *wire) copy(dst, src net.Conn, way int) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		w.mu.Lock()
		open := w.open[way]
		w.mu.Unlock()
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

// cut holds back traffic in the directions until heal. What was held back arrives then.
func (w *wire) cut(ways ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, way := range ways {
		w.open[way] = make(chan struct{})
	}
}

// heal lets all traffic pass.
func (w *wire) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, open := range w.open {
		select {
		case <-open:
		default:
			close(open)
		}
	}
}

func (c *cluster) openWires() {
	if !c.opts.wires {
		return
	}
	for range c.vms {
		var row []*wire
		for _, address := range c.upstreams {
			row = append(row, newWire(c.t, address))
		}
		c.wires = append(c.wires, row)
	}
}

// fault switches a fault of an upstream.
func (c *cluster) fault(i int, name, value string) {
	c.t.Helper()
	form := url.Values{"name": {name}, "value": {value}}
	res, err := http.PostForm("http://"+c.admins[i]+"/fault", form)
	assert.NilError(c.t, err)
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	assert.Equal(c.t, res.StatusCode, http.StatusOK, string(text))
}

// platformFault switches a fault of the platform.
func (c *cluster) platformFault(name, value string) {
	c.t.Helper()
	c.put(fmt.Sprintf("/v1/fault/%s?value=%s", name, url.QueryEscape(value)), nil)
}

// stats returns what an upstream's simulator says about itself.
func (c *cluster) stats(i int) dbsim.Stats {
	c.t.Helper()
	var s dbsim.Stats
	assert.NilError(c.t, c.get("http://"+c.admins[i]+"/status", &s))
	return s
}

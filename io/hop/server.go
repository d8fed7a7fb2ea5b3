package hop

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"snipewall/core"
	"snipewall/io/sock"
)

const (
	// helloTimeout limits the time until a new connection has named its upstream.
	helloTimeout = 3 * time.Second
	// writeTimeout limits a write to a peer that doesn't read.
	writeTimeout = 3 * time.Second
	// defaultLeft is the time of commands that name none, such as ROLLBACK.
	defaultLeft = time.Second
	// goodbyeTimeout limits the write of a goodbye.
	goodbyeTimeout = 100 * time.Millisecond
	// idleTimeout ends connections that nobody uses.
	idleTimeout = 2 * time.Minute
)

// Relay runs the commands of one connection on an upstream that this entry VM owns. It is used by one
// goroutine at a time.
type Relay interface {
	// Execute runs one command until the deadline.
	Execute(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer
	// Pause tells that no further command has arrived yet.
	Pause()
	// Close rolls back what is open.
	Close()
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// Open returns the relay to the upstream and its last known position, or false if this entry VM
	// doesn't know the upstream.
	Open func(id core.UpstreamID) (Relay, core.Position, bool)
	Log  log.Logger
}

// Server is the service "hop".
type Server struct {
	*sock.Server[*peer]
	cfg     ServerConfig
	leaving atomic.Bool
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	s.Server = sock.NewServer(sock.ServerConfig[*peer]{
		Listener: cfg.Listener, Log: cfg.Log, Open: s.open,
		Serve: func(ctx context.Context, p *peer) { p.run(ctx) },
	})
	return s
}

// Name implements core.Service.
func (s *Server) Name() string { return "hop" }

func (s *Server) open(c net.Conn) *peer {
	p := &peer{server: s, conn: c, in: bufio.NewReaderSize(c, bufferSize), out: bufio.NewWriterSize(c, bufferSize)}
	p.dec, p.enc = gob.NewDecoder(p.in), gob.NewEncoder(p.out)
	return p
}

// AnnounceShutdown asks the other entry VMs to stop using their connections. They are served until Run ends.
func (s *Server) AnnounceShutdown() {
	s.leaving.Store(true)
	s.Each((*peer).goodbye)
}

// peer is one connection from another entry VM.
type peer struct {
	server *Server
	conn   net.Conn
	in     *bufio.Reader
	dec    *gob.Decoder

	// mu is held while a frame is written.
	mu  sync.Mutex
	out *bufio.Writer
	enc *gob.Encoder
	// welcomed tells that frames other than the welcome may be written.
	welcomed bool
}

func (p *peer) run(ctx context.Context) {
	if err := p.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	var h hello
	if err := p.dec.Decode(&h); err != nil {
		return
	}
	relay, at, ok := p.server.cfg.Open(h.Upstream)
	if !ok || p.server.leaving.Load() {
		p.write(welcome{Fault: core.FaultBusy})
		return
	}
	defer relay.Close()
	if !p.write(welcome{Position: at}) {
		return
	}
	p.mu.Lock()
	p.welcomed = true
	p.mu.Unlock()
	for p.serve(ctx, relay) {
	}
}

// serve runs one batch and reports whether the connection goes on.
func (p *peer) serve(ctx context.Context, relay Relay) bool {
	if err := p.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return false
	}
	var b batch
	if err := p.dec.Decode(&b); err != nil {
		return false
	}
	if b.Left <= 0 {
		b.Left = defaultLeft
	}
	if b.Wait <= 0 {
		b.Wait = b.Left
	}
	now := time.Now()
	deadline, startBy := now.Add(b.Left), now.Add(b.Wait)
	for i, cmd := range b.Commands {
		cmd.StartBy = startBy
		ans := relay.Execute(ctx, cmd, deadline)
		last := i == len(b.Commands)-1
		if last {
			relay.Pause()
		}
		if !p.reply(reply{Answer: ans}, last) {
			return false
		}
	}
	return true
}

// reply writes a frame, and sends all that waits if it is the last of its batch.
func (p *peer) reply(r reply, last bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.enc.Encode(r); err != nil {
		return false
	}
	return !last || p.flush()
}

func (p *peer) write(frame any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.enc.Encode(frame) == nil && p.flush()
}

// flush sends what waits. The caller holds mu.
func (p *peer) flush() bool {
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	return p.out.Flush() == nil
}

// goodbye tells the other side that this entry VM stops.
func (p *peer) goodbye() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.welcomed {
		return
	}
	if err := p.enc.Encode(reply{Goodbye: true}); err != nil {
		return
	}
	if err := p.conn.SetWriteDeadline(time.Now().Add(goodbyeTimeout)); err != nil {
		return
	}
	// A peer that can't be told finds out when the connection ends.
	_ = p.out.Flush()
}

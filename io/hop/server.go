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
	"snipewall/core/budget"
	"snipewall/io/sock"
)

const (
	// helloTimeout limits the time until a new connection sends its hello.
	helloTimeout = 3 * time.Second
	// writeTimeout limits a write to a peer that doesn't read.
	writeTimeout = 3 * time.Second
	// defaultTimeout is the timeout of commands without a deadline, such as ROLLBACK.
	defaultTimeout = time.Second
	// goodbyeTimeout limits the write of a goodbye, which the shutdown waits for.
	goodbyeTimeout = 100 * time.Millisecond
	// idleTimeout is the time without a batch after which a connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHelloBytes limits the first frame. maxBatchBytes limits a batch: a statement, and the values and prepared statements
	// of a session, which its VM limits to half of it.
	maxHelloBytes = 64 << 10
	maxBatchBytes = 16 << 20
)

// Relay runs the commands of one connection on an upstream that this entry VM owns. It needs no
// locking: one goroutine uses it at a time.
type Relay interface {
	// Execute runs one command, at most until the deadline.
	Execute(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer
	// Pause is called after the last command of each batch, so that a transaction can give up its slot
	// until its next statement arrives.
	Pause()
	// StateBytes returns the memory that the relay keeps between batches.
	StateBytes() int
	// Close rolls back an open transaction.
	Close()
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// Open returns the relay to the upstream and its last known position, or false if this entry VM
	// doesn't know the upstream.
	Open func(id core.UpstreamID) (Relay, core.Position, bool)
	Log  log.Logger
	// Memory accounts for batches that are being received; nil means that there is no limit for all together.
	Memory *budget.Budget
}

// Server is the service "hop".
type Server struct {
	*sock.Server[*peer]
	cfg      ServerConfig
	stopping atomic.Bool
}

// NewServer returns a server that accepts connections once Run is called.
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
	p.frames = &sock.FrameReader{R: p.in}
	if s.cfg.Memory != nil {
		p.frames.Account = s.cfg.Memory.Open(func() { _ = c.Close() })
	}
	p.dec, p.enc = gob.NewDecoder(p.frames), gob.NewEncoder(p.out)
	return p
}

// AnnounceShutdown asks the other entry VMs to stop using their connections, and refuses new ones. It
// doesn't wait: the connections are served until Run ends.
func (s *Server) AnnounceShutdown() {
	s.stopping.Store(true)
	s.Each((*peer).sendGoodbye)
}

// peer is one connection from another entry VM.
type peer struct {
	server *Server
	conn   net.Conn
	in     *bufio.Reader
	frames *sock.FrameReader
	dec    *gob.Decoder

	// mu is held while a frame is written to out or enc.
	mu  sync.Mutex
	out *bufio.Writer
	enc *gob.Encoder
	// welcomeSent is set after the welcome, before which no other frame may be written.
	welcomeSent bool
}

func (p *peer) run(ctx context.Context) {
	if err := p.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	if p.frames.Account != nil {
		defer p.frames.Account.Close()
	}
	var h hello
	if !p.frames.Begin(maxHelloBytes) || p.dec.Decode(&h) != nil {
		return
	}
	relay, position, ok := p.server.cfg.Open(h.Upstream)
	if !ok || p.server.stopping.Load() {
		p.write(welcome{Fault: core.FaultBusy})
		return
	}
	defer relay.Close()
	if !p.write(welcome{Position: position}) {
		return
	}
	p.mu.Lock()
	p.welcomeSent = true
	p.mu.Unlock()
	for p.serve(ctx, relay) {
	}
}

// serve runs the next batch. It returns false if the connection must be closed.
func (p *peer) serve(ctx context.Context, relay Relay) bool {
	if err := p.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return false
	}
	p.frames.Kept = int64(relay.StateBytes())
	if !p.frames.Begin(maxBatchBytes) {
		return false
	}
	var b batch
	if err := p.dec.Decode(&b); err != nil {
		return false
	}
	if b.Left <= 0 {
		b.Left = defaultTimeout
	}
	if b.Wait <= 0 {
		b.Wait = b.Left
	}
	sock.SetBusy(p.conn, true)
	hasTx := false
	defer func() { sock.SetBusy(p.conn, hasTx) }()
	now := time.Now()
	deadline, startBy := now.Add(b.Left), now.Add(b.Wait)
	for i, cmd := range b.Commands {
		cmd.StartBy = startBy
		ans := relay.Execute(ctx, cmd, deadline)
		hasTx = ans.Status == core.TxOpen || ans.Status == core.TxFailed
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

// reply buffers a frame, and flushes the buffer if the frame is the last of its batch.
func (p *peer) reply(r reply, last bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A large frame is written in part before the flush.
	if p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil || p.enc.Encode(r) != nil {
		return false
	}
	return !last || p.out.Flush() == nil
}

func (p *peer) write(frame any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	return p.enc.Encode(frame) == nil && p.out.Flush() == nil
}

// sendGoodbye tells the other side that this entry VM shuts down.
func (p *peer) sendGoodbye() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.welcomeSent {
		return
	}
	if err := p.conn.SetWriteDeadline(time.Now().Add(goodbyeTimeout)); err != nil {
		return
	}
	if err := p.enc.Encode(reply{Goodbye: true}); err != nil {
		return
	}
	// If the write fails, the peer detects the shutdown when the connection is closed.
	_ = p.out.Flush()
}

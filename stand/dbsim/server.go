package dbsim

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

// Config describes an upstream.
type Config struct {
	// Slots is the number of statements that execute at once; 0 means no limit.
	Slots int
	// Connections limits the connections of callers; 0 means no limit.
	Connections int
	// Reserved is the number of further connections for control functions only. Connections belong
	// to them if their application_name is ControlName. 0 means 16.
	Reserved int
	// ConnectTime is how long the start-up of a connection takes.
	ConnectTime time.Duration
	// ServiceTime is how long a statement occupies its slot.
	ServiceTime time.Duration
	// ControlTime is how long a control function takes.
	ControlTime time.Duration
	// Delay is the network delay to callers in each direction.
	Delay time.Duration
	// ShipLag delays entries from the primary before they enter the log.
	ShipLag time.Duration
	// ApplyLag delays entries in the log before reads see them.
	ApplyLag time.Duration
	// Heartbeat is the interval at which a primary tells its replicas that it is alive; 0 means 50 ms.
	Heartbeat time.Duration
	// Dial opens connections to other upstreams; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// TLS, if set, is offered to clients that ask for encryption.
	TLS *tls.Config
	// Logger takes events; nil means none.
	Logger log.Logger
}

// ControlName is the application_name of connections that count against the reserved ones.
const ControlName = "snipewall-control"

const (
	defaultReserved  = 16
	defaultHeartbeat = 50 * time.Millisecond
)

// New returns a server for the database. Serve starts it.
func (c Config) New(db *Database) *Server {
	if c.Reserved == 0 {
		c.Reserved = defaultReserved
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	s := &Server{cfg: c, db: db, faults: newFaults(c.ShipLag, c.ApplyLag)}
	if c.Slots > 0 {
		s.slots = make(chan struct{}, c.Slots)
	}
	return s
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// Server is the process of one upstream.
type Server struct {
	cfg    Config
	db     *Database
	faults *faults
	// slots limits the statements that execute at once, nil means no limit.
	slots chan struct{}

	callers  atomic.Int64
	controls atomic.Int64
	nextPID  atomic.Uint32
	// sessions holds the *session of each sessionKey.
	sessions sync.Map

	// executed counts the statements that occupied a slot.
	executed atomic.Uint64
	// waiting counts the statements that wait for a slot; busy is the time, in ns, that slots were
	// occupied.
	waiting atomic.Int64
	busy    atomic.Int64
}

// Database returns the durable state.
func (s *Server) Database() *Database { return s.db }

// Stats describes the load of a server.
type Stats struct {
	Status      core.UpstreamStatus
	Connections int
	Controls    int
	// Executed is the number of statements that occupied a slot.
	Executed uint64
	// Waiting is the number of statements that wait for a slot.
	Waiting int
	// Busy is the total time that slots were occupied by statements that have ended.
	Busy time.Duration
}

// Stats returns the load.
func (s *Server) Stats() Stats {
	return Stats{
		Status:      s.db.Status(),
		Connections: int(s.callers.Load()),
		Controls:    int(s.controls.Load()),
		Executed:    s.executed.Load(),
		Waiting:     int(s.waiting.Load()),
		Busy:        time.Duration(s.busy.Load()),
	}
}

// Serve accepts connections until ctx ends or the listener is closed, then closes all connections
// and waits for their end. Their open transactions are rolled back.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	wg.Go(func() { s.replicate(ctx) })
	wg.Go(func() { s.applyLagged(ctx) })
	for {
		c, err := lis.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		wg.Go(func() { s.serveConn(ctx, c) })
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	l := s.newLink(ctx, c, linkUnknown)
	defer func() { _ = l.Close() }()
	stop := l.closeAfter(ctx)
	defer stop()
	if err := s.accept(l); err != nil {
		level.Debug(s.cfg.Logger).Log("Msg", "connection ended", "Remote", c.RemoteAddr(), "Err", err)
	}
}

// applyLagged applies entries of the log when their lag has passed.
func (s *Server) applyLagged(ctx context.Context) {
	changed, stop := s.db.watch()
	defer stop()
	for {
		if err := s.faults.awaitThaw(ctx); err != nil {
			return
		}
		_, lag := s.faults.lag()
		wait, waiting := s.db.applyDue(lag)
		var timer <-chan time.Time
		if waiting {
			timer = time.After(max(wait, time.Microsecond))
		}
		select {
		case <-changed:
		case <-timer:
		case <-s.faults.change():
		case <-ctx.Done():
			return
		}
	}
}

// takeSlot waits for a slot.
func (s *Server) takeSlot(ctx context.Context) error {
	if s.slots == nil {
		return nil
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

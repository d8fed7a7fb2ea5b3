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

// Config configures a Server. The zero value works.
type Config struct {
	// Slots is the number of statements that execute at once; 0 means no limit.
	Slots int
	// Connections limits the connections of callers; 0 means no limit.
	Connections int
	// Reserved is the number of further connections, for control functions only. A connection counts
	// as one of them if its application_name is ControlApplicationName. 0 means 16.
	Reserved int
	// ConnectTime is how long the start-up of a connection takes.
	ConnectTime time.Duration
	// ServiceTime is how long a statement takes, during which it occupies its slot.
	ServiceTime time.Duration
	// ControlTime is how long a control function takes.
	ControlTime time.Duration
	// Delay is the one-way network delay between the upstream and its callers.
	Delay time.Duration
	// ShipLag delays entries from the primary before they enter this replica's log.
	ShipLag time.Duration
	// ApplyLag delays entries in this replica's log before reads see them.
	ApplyLag time.Duration
	// Heartbeat is the interval of a primary's heartbeats to its replicas; 0 means 50 ms.
	Heartbeat time.Duration
	// Dial opens connections to other upstreams; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// TLS is used for clients that request it; nil means no TLS.
	TLS *tls.Config
	// Logger receives log messages; nil means no logging.
	Logger log.Logger
}

// ControlApplicationName is the application_name of connections that use Config.Reserved and may run control
// functions only.
const ControlApplicationName = "snipewall-control"

const (
	defaultReserved  = 16
	defaultHeartbeat = 50 * time.Millisecond
)

// New returns a server for the database. It does nothing until Serve is called.
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

// Server simulates the server process of one upstream.
type Server struct {
	cfg    Config
	db     *Database
	faults *faults
	// slots has one element for each statement that executes; nil means no limit.
	slots chan struct{}

	callerConns  atomic.Int64
	controlConns atomic.Int64
	lastPID      atomic.Uint32
	// sessions holds the *session of each sessionKey.
	sessions sync.Map

	// executed counts the statements that occupied a slot.
	executed atomic.Uint64
	// waiting counts the statements that wait for a slot. busy is the total time that slots were occupied,
	// in ns.
	waiting atomic.Int64
	busy    atomic.Int64
}

// Database returns the database that the server was created with.
func (s *Server) Database() *Database { return s.db }

// Stats holds the status and the load of a server. GET /status of the admin port returns it as JSON.
type Stats struct {
	Status core.UpstreamStatus
	// Connections is the number of open connections of callers.
	Connections int
	// Controls is the number of open connections for control functions.
	Controls int
	// Executed is the number of statements that occupied a slot.
	Executed uint64
	// Waiting is the number of statements that wait for a slot.
	Waiting int
	// Busy is the total time that slots were occupied by statements that have ended.
	Busy time.Duration
}

// Stats returns the current status and load.
func (s *Server) Stats() Stats {
	return Stats{
		Status:      s.db.Status(),
		Connections: int(s.callerConns.Load()),
		Controls:    int(s.controlConns.Load()),
		Executed:    s.executed.Load(),
		Waiting:     int(s.waiting.Load()),
		Busy:        time.Duration(s.busy.Load()),
	}
}

// Serve accepts connections until ctx ends or the listener is closed. Then it closes all connections, which
// rolls back their transactions, and waits until they have ended.
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

// applyLagged applies entries of the log when the apply lag has passed since their arrival.
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
		case <-s.faults.nextChange():
		case <-ctx.Done():
			return
		}
	}
}

// takeSlot blocks until a slot is free, at most until ctx ends. releaseSlot frees it.
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

package dbsim

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

// Times of replication.
const (
	// redialTime is the pause before a replica connects again.
	redialTime = 50 * time.Millisecond
	// streamSilence is how long a replica waits for its primary before it connects again.
	streamSilence = time.Second
	// shipBatch limits the entries of one shipment.
	shipBatch = 500
	// shipQueue limits the shipments that wait for the lag to pass.
	shipQueue = 4096
)

// hello is what a replica sends first: the term in which it follows, and what its log looks like.
type hello struct {
	Term core.Term
	Runs []Run
}

// shipment is what a primary sends. The first one tells the offset up to which the logs agree; one
// without entries is a heartbeat.
type shipment struct {
	Start   bool
	Common  core.Offset
	First   core.Offset
	Entries []Entry
	// Refused tells why the primary does not ship.
	Refused string
}

// serveReplica ships the log to a replica until the connection or the term ends.
func (s *Server) serveReplica(l *link, c net.Conn, be *pgproto3.Backend) error {
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := be.Flush(); err != nil {
		return err
	}
	var h hello
	dec := gob.NewDecoder(c)
	if err := dec.Decode(&h); err != nil {
		return err
	}
	if err := l.SetDeadline(time.Time{}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		// A replica sends nothing more, so that this ends with the connection.
		_ = dec.Decode(new(hello))
		cancel()
	}()
	err := s.ship(ctx, c, h)
	_ = l.Close()
	<-gone
	return err
}

func (s *Server) ship(ctx context.Context, c net.Conn, h hello) error {
	w := bufio.NewWriter(c)
	enc := gob.NewEncoder(w)
	send := func(m shipment) error {
		if err := enc.Encode(m); err != nil {
			return err
		}
		return w.Flush()
	}
	changed, stop := s.db.watch()
	defer stop()
	after := commonOffset(s.db.logRuns(), h.Runs)
	if _, ok := s.db.entriesAfter(h.Term, after, 0); !ok {
		return send(shipment{Refused: "not primary of the term"})
	}
	if err := send(shipment{Start: true, Common: after}); err != nil {
		return err
	}
	heartbeat := time.NewTicker(s.cfg.Heartbeat)
	defer heartbeat.Stop()
	for {
		entries, ok := s.db.entriesAfter(h.Term, after, shipBatch)
		if !ok {
			return errors.New("the term has ended")
		}
		if len(entries) > 0 {
			if err := send(shipment{First: after + 1, Entries: entries}); err != nil {
				return err
			}
			after += core.Offset(len(entries))
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := send(shipment{}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// replicate follows whichever primary the database is told to follow.
func (s *Server) replicate(ctx context.Context) {
	changed, stop := s.db.watch()
	defer stop()
	for ctx.Err() == nil {
		st, ok := s.db.following()
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := s.followStream(ctx, st)
		level.Info(s.cfg.Logger).Log("Msg", "replication ended", "Primary", st.primary, "Term", st.term, "Err", err)
		if s.db.current(st) {
			_ = sleep(ctx, redialTime)
		}
	}
}

// followStream connects to the primary and follows it until the connection fails or the database is
// told to follow another one.
func (s *Server) followStream(ctx context.Context, st stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelWhenStale(ctx, cancel, st)
	dialCtx, dialed := context.WithTimeout(ctx, streamSilence)
	c, err := s.cfg.Dial(dialCtx, st.primary)
	dialed()
	if err != nil {
		return err
	}
	l := s.newLink(ctx, c, linkUpstream)
	defer func() { _ = l.Close() }()
	stop := l.closeAfter(ctx)
	defer stop()
	if err := l.SetDeadline(time.Now().Add(streamSilence)); err != nil {
		return err
	}
	if err := s.greetPrimary(l); err != nil {
		return err
	}
	if err := gob.NewEncoder(l).Encode(hello{Term: st.term, Runs: s.db.logRuns()}); err != nil {
		return err
	}
	return s.receive(ctx, l, st)
}

// cancelWhenStale ends the context when the stream is no longer what the replica should follow.
func (s *Server) cancelWhenStale(ctx context.Context, cancel context.CancelFunc, st stream) {
	defer cancel()
	changed, stop := s.db.watch()
	defer stop()
	for s.db.current(st) {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// greetPrimary performs the start-up of a replication connection.
func (s *Server) greetPrimary(l *link) error {
	fe := pgproto3.NewFrontend(l, l)
	fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "dbsim", replicateParameter: "on"},
	})
	if err := fe.Flush(); err != nil {
		return err
	}
	for {
		msg, err := fe.Receive()
		if err != nil {
			return err
		}
		switch msg := msg.(type) {
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.ErrorResponse:
			return errors.New(msg.Message)
		}
	}
}

// arrival is a shipment and when it arrived.
type arrival struct {
	shipment
	at time.Time
}

// receive reads shipments and hands them to the log after the lag.
func (s *Server) receive(ctx context.Context, l *link, st stream) error {
	queue := make(chan arrival, shipQueue)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.store(ctx, st, queue)
	}()
	defer func() { <-done }()
	defer close(queue)
	dec := gob.NewDecoder(l)
	for {
		var m shipment
		if err := l.SetReadDeadline(time.Now().Add(streamSilence)); err != nil {
			return err
		}
		if err := dec.Decode(&m); err != nil {
			return err
		}
		if m.Refused != "" {
			return errors.New(m.Refused)
		}
		if !s.db.hear(st) {
			return errors.New("no longer following")
		}
		select {
		case queue <- arrival{shipment: m, at: time.Now()}:
		case <-done:
			return errors.New("the log did not accept a shipment")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// store adds shipments to the log when the lag has passed.
func (s *Server) store(ctx context.Context, st stream, queue <-chan arrival) {
	for a := range queue {
		if err := s.faults.awaitThaw(ctx); err != nil {
			return
		}
		if !a.Start && len(a.Entries) == 0 {
			continue
		}
		ship, apply := s.faults.lag()
		if err := sleep(ctx, ship-time.Since(a.at)); err != nil {
			return
		}
		ok := false
		if a.Start {
			ok = s.db.startStream(st, a.Common)
		} else {
			ok = s.db.appendStream(st, a.First, a.Entries)
		}
		if !ok {
			return
		}
		s.db.applyDue(apply)
	}
}

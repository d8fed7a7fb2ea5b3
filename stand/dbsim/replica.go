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

// Delays and limits of replication.
const (
	// redialDelay is the delay before a replica connects again after its stream has ended.
	redialDelay = 50 * time.Millisecond
	// streamTimeout limits a replica's connection attempts, and the time without a message from its
	// primary before it connects again.
	streamTimeout = time.Second
	// maxShipmentEntries limits the number of entries in a shipment.
	maxShipmentEntries = 500
	// shipmentQueueLen limits the number of received shipments that wait until the ship lag has passed.
	shipmentQueueLen = 4096
)

// hello is the first message of a replica: the term in which it follows the primary, and the runs of its
// log.
type hello struct {
	Term core.Term
	Runs []Run
}

// shipment is a message from a primary to a replica. The first one has Start set. A later one without
// entries is a heartbeat.
type shipment struct {
	Start bool
	// Common is the offset up to which the logs are equal, if Start is set.
	Common core.Offset
	// First is the offset of the first of Entries.
	First   core.Offset
	Entries []Entry
	// Refused is the reason if the upstream refuses to ship its log.
	Refused string
}

// serveReplica ships the log to a replica until the connection ends or the upstream is no longer primary of
// the replica's term.
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
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		// A replica sends no second message, so this blocks until the connection ends.
		_ = dec.Decode(new(hello))
		cancel()
	}()
	err := s.ship(ctx, c, h)
	_ = l.Close()
	<-disconnected
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
		entries, ok := s.db.entriesAfter(h.Term, after, maxShipmentEntries)
		if !ok {
			return errors.New("no longer primary of the replica's term")
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

// replicate follows the primary that the database names, and reconnects when a stream ends.
func (s *Server) replicate(ctx context.Context) {
	changed, stop := s.db.watch()
	defer stop()
	for ctx.Err() == nil {
		st, ok := s.db.streamToFollow()
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := s.followStream(ctx, st)
		level.Info(s.cfg.Logger).Log("Msg", "replication ended", "Primary", st.primary, "Term", st.term, "Err", err)
		if s.db.isCurrent(st) {
			_ = sleep(ctx, redialDelay)
		}
	}
}

// followStream connects to the primary and receives its log until the connection fails or the stream is no
// longer valid.
func (s *Server) followStream(ctx context.Context, st stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelWhenStale(ctx, cancel, st)
	dialCtx, cancelDial := context.WithTimeout(ctx, streamTimeout)
	c, err := s.cfg.Dial(dialCtx, st.primary)
	cancelDial()
	if err != nil {
		return err
	}
	l := s.newLink(ctx, c, linkUpstream)
	defer func() { _ = l.Close() }()
	stop := l.closeAfter(ctx)
	defer stop()
	if err := l.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return err
	}
	if err := s.performStartup(l); err != nil {
		return err
	}
	if err := gob.NewEncoder(l).Encode(hello{Term: st.term, Runs: s.db.logRuns()}); err != nil {
		return err
	}
	return s.receive(ctx, l, st)
}

// cancelWhenStale calls cancel when the stream is no longer valid.
func (s *Server) cancelWhenStale(ctx context.Context, cancel context.CancelFunc, st stream) {
	defer cancel()
	changed, stop := s.db.watch()
	defer stop()
	for s.db.isCurrent(st) {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// performStartup performs the PostgreSQL start-up of a replication connection, on the replica's side.
func (s *Server) performStartup(l *link) error {
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

// receivedShipment is a shipment with its time of arrival.
type receivedShipment struct {
	shipment
	at time.Time
}

// receive reads shipments until the stream ends. Another goroutine appends them to the log after the ship
// lag.
func (s *Server) receive(ctx context.Context, l *link, st stream) error {
	queue := make(chan receivedShipment, shipmentQueueLen)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.appendShipments(ctx, st, queue)
	}()
	defer func() { <-done }()
	defer close(queue)
	dec := gob.NewDecoder(l)
	for {
		var m shipment
		if err := l.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
			return err
		}
		if err := dec.Decode(&m); err != nil {
			return err
		}
		if m.Refused != "" {
			return errors.New(m.Refused)
		}
		if !s.db.recordHeard(st) {
			return errors.New("the replica no longer follows this primary and term")
		}
		select {
		case queue <- receivedShipment{shipment: m, at: time.Now()}:
		case <-done:
			return errors.New("shipment could not be appended to the log")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// appendShipments appends queued shipments to the log once the ship lag has passed since their arrival. It
// returns when the queue is closed, or when a shipment doesn't fit the log or the stream.
func (s *Server) appendShipments(ctx context.Context, st stream, queue <-chan receivedShipment) {
	for m := range queue {
		if err := s.faults.awaitThaw(ctx); err != nil {
			return
		}
		if !m.Start && len(m.Entries) == 0 {
			continue
		}
		ship, apply := s.faults.lag()
		if err := sleep(ctx, ship-time.Since(m.at)); err != nil {
			return
		}
		ok := false
		if m.Start {
			ok = s.db.startStream(st, m.Common)
		} else {
			ok = s.db.appendStream(st, m.First, m.Entries)
		}
		if !ok {
			return
		}
		s.db.applyDue(apply)
	}
}

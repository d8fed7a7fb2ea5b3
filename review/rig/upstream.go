package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is an entry of a group's log: the writes that were committed together, each with its request id before the data.
type commit struct {
	term   uint64
	writes []string
}

// arrival is when a replica receives and when it applies an entry of the log.
type arrival struct{ received, applied time.Time }

// groupConfig configures a group of upstreams.
type groupConfig struct {
	name string
	// maxConnections is the limit of each upstream, slots the number in its entry.
	maxConnections, slots int
	// syncReplicas is the number of replicas that must have received a commit before it is acknowledged.
	syncReplicas int
	// work is the time that a read or a write takes.
	work time.Duration
	// inZone and crossRegion are the one-way delays of the network.
	inZone, crossRegion time.Duration
	// hideBeginPosition makes the position after BEGIN a hyphen.
	hideBeginPosition bool
	// promoteTime is the time from a promotion call until the upstream leads.
	promoteTime time.Duration
}

// group is a stand-in for a service: one primary and its replicas, with a common log.
type group struct {
	cfg   groupConfig
	store *store
	rec   *record

	mu      sync.Mutex
	term    uint64
	log     []commit
	members []*upstream
	// promoting is set from a promotion call until the upstream leads.
	promoting bool
	changed   chan struct{}
	// onPromote is called with the old and the new log when an upstream takes over. The caller holds mu.
	onPromote func(u *upstream, old, log []commit)
	// rows returns the rows of a read; nil means one row with the item.
	rows func(u *upstream, item string) string
	// onRun is called for each statement that an upstream runs.
	onRun func(u *upstream, from, id, text string)
}

// firstPosition is the number of the position before the first commit of the log.
const firstPosition = 1000

// upstream is a member of a group.
type upstream struct {
	g    *group
	id   string
	zone string
	ln   net.Listener
	// lag returns the time from the arrival of a commit until it is applied.
	lag  func() time.Duration
	born int64

	// The fields below are guarded by the group's mu.
	isPrimary, isDown, isLeaving bool
	// deafSince is since when the upstream receives nothing, or zero.
	deafSince time.Time
	arrivals  []arrival
	conns     map[net.Conn]bool
	sequence  int
}

func newGroup(cfg groupConfig, st *store, rec *record) *group {
	return &group{cfg: cfg, store: st, rec: rec, term: 3, changed: make(chan struct{})}
}

// add starts an upstream. The first one is the primary; others get the whole log.
func (g *group) add(ctx context.Context, ip, id, zone string, lag func() time.Duration) (*upstream, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		g: g, id: id, zone: zone, ln: ln, lag: lag, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{},
	}
	g.mu.Lock()
	u.isPrimary = len(g.members) == 0
	now := time.Now()
	for range g.log {
		u.arrivals = append(u.arrivals, arrival{now, now})
	}
	g.members = append(g.members, u)
	g.mu.Unlock()
	go u.accept()
	u.report()
	return u, nil
}

// report writes the upstream's entry in the store.
func (u *upstream) report() {
	u.g.mu.Lock()
	role, state := "replica", "ready"
	if u.isPrimary {
		role = "primary"
	}
	if u.isLeaving {
		state = "draining"
	}
	u.sequence++
	entry := map[string]any{
		"service": u.g.cfg.name, "address": u.ln.Addr().String(), "zone": u.zone, "configVersion": "v1", "slots": u.g.cfg.slots,
		"state": state, "warmupLeftMs": 0, "dbRole": role, "sequence": u.sequence, "born": u.born,
	}
	u.g.mu.Unlock()
	u.g.store.put("servers/"+u.id, entry)
	u.g.rec.note("upstream %s reports %s, %s", u.id, role, state)
}

// leave reports that the upstream is draining.
func (u *upstream) leave() {
	u.g.mu.Lock()
	u.isLeaving = true
	u.g.mu.Unlock()
	u.report()
}

// crash stops the upstream for good. Its entry is removed after three heartbeat intervals of silence.
func (u *upstream) crash(entryAfter time.Duration) {
	u.g.mu.Lock()
	u.isDown = true
	u.g.wake()
	conns := u.conns
	u.conns = map[net.Conn]bool{}
	u.g.mu.Unlock()
	_ = u.ln.Close()
	for c := range conns {
		_ = c.Close()
	}
	u.g.rec.note("upstream %s ends", u.id)
	time.AfterFunc(entryAfter, func() { u.g.store.remove("servers/" + u.id) })
}

// setDeaf makes the upstream receive nothing until it is called again with false.
func (u *upstream) setDeaf(deaf bool) {
	u.g.mu.Lock()
	defer u.g.mu.Unlock()
	u.deafSince = time.Time{}
	if deaf {
		u.deafSince = time.Now()
	} else {
		u.schedule(len(u.g.log))
	}
	u.g.rec.note("upstream %s receives nothing: %v", u.id, deaf)
}

// setLag changes the time until received commits are applied.
func (u *upstream) setLag(lag func() time.Duration) {
	u.g.mu.Lock()
	defer u.g.mu.Unlock()
	u.lag = lag
}

// schedule schedules the arrival of the log up to n entries. The caller holds mu.
func (u *upstream) schedule(n int) {
	delay := u.g.delayFrom(u.zone)
	for len(u.arrivals) < n {
		a := arrival{received: time.Now().Add(delay)}
		if last := len(u.arrivals) - 1; last >= 0 {
			a.received = later(a.received, u.arrivals[last].received)
			a.applied = u.arrivals[last].applied
		}
		a.applied = later(a.applied, a.received.Add(u.lag()))
		u.arrivals = append(u.arrivals, a)
	}
}

// delayFrom returns the one-way delay from the primary to a zone. The caller holds mu.
func (g *group) delayFrom(zone string) time.Duration {
	for _, m := range g.members {
		if m.isPrimary && m.zone == zone {
			return g.cfg.inZone
		}
	}
	return g.cfg.crossRegion
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// received and applied return the length of the log that the upstream has received and applied. The caller holds mu.
func (u *upstream) received() int { return u.progress(func(a arrival) time.Time { return a.received }) }
func (u *upstream) applied() int  { return u.progress(func(a arrival) time.Time { return a.applied }) }

func (u *upstream) progress(at func(arrival) time.Time) int {
	if u.isPrimary {
		return len(u.g.log)
	}
	now, n := time.Now(), len(u.arrivals)
	for n > 0 && at(u.arrivals[n-1]).After(now) {
		n--
	}
	return n
}

// position returns the position of a log of n entries. The caller holds mu.
func (g *group) position(n int) string {
	term := uint64(3)
	if n > 0 {
		term = g.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", term, firstPosition+n)
}

// wake wakes the goroutines that wait for a change. The caller holds mu.
func (g *group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// primary returns the primary, or nil.
func (g *group) primary() *upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.members {
		if u.isPrimary {
			return u
		}
	}
	return nil
}

// promote begins a promotion, and reports whether the upstream runs.
func (g *group) promote(service, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.members {
		if u.id != id || service != g.cfg.name || u.isDown {
			continue
		}
		if !u.isPrimary && !g.promoting {
			g.promoting = true
			time.AfterFunc(g.cfg.promoteTime, func() { g.takeOver(u) })
		}
		return true
	}
	return false
}

// takeOver makes the upstream the primary with what it has received. The others are rolled back to its log.
func (g *group) takeOver(u *upstream) {
	g.mu.Lock()
	g.promoting = false
	if u.isDown {
		g.mu.Unlock()
		return
	}
	kept, applied := u.received(), u.applied()
	old := g.log
	var oldPrimary *upstream
	for _, m := range g.members {
		if m.isPrimary {
			oldPrimary = m
			now := time.Now()
			m.isPrimary, m.arrivals = false, nil
			for range kept {
				m.arrivals = append(m.arrivals, arrival{now, now})
			}
		}
	}
	g.log = append([]commit(nil), old[:kept]...)
	g.term++
	u.isPrimary = true
	for _, m := range g.members {
		if m.isPrimary || m.isDown {
			continue
		}
		m.arrivals = m.arrivals[:min(len(m.arrivals), kept)]
		if m.deafSince.IsZero() {
			m.schedule(kept)
		}
	}
	g.rec.note("upstream %s leads term %d with %s (applied %s)", u.id, g.term, g.position(kept), g.position(applied))
	if g.onPromote != nil {
		g.onPromote(u, old, g.log)
	}
	g.wake()
	g.mu.Unlock()
	u.report()
	if oldPrimary != nil && !oldPrimary.isDown {
		oldPrimary.report()
	}
}

func (u *upstream) accept() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.g.mu.Lock()
		full := len(u.conns) >= u.g.cfg.maxConnections
		if !full {
			u.conns[c] = true
		}
		u.g.mu.Unlock()
		go func() {
			if full {
				_, _ = c.Write([]byte("ERROR OVERLOAD too many connections\r\n"))
			} else {
				u.serve(c)
			}
			u.g.mu.Lock()
			delete(u.conns, c)
			u.g.mu.Unlock()
			_ = c.Close()
		}()
	}
}

// dbSession is the state of a connection to an upstream.
type dbSession struct {
	u    *upstream
	from string
	// state is I, T or E; writable is set if the open transaction may write, and term is that in which it began.
	state    byte
	writable bool
	term     uint64
	writes   []string
	prepared map[string]string
}

func (u *upstream) serve(c net.Conn) {
	in := bufio.NewReader(c)
	line, err := readLine(in)
	if err != nil {
		return
	}
	fields := strings.Split(line, " ")
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != u.g.cfg.name || (len(fields) > 3 && fields[3] != u.id) {
		_, _ = c.Write([]byte("ERROR MISROUTED " + u.id + "\r\n"))
		return
	}
	s := &dbSession{u: u, from: fields[2], state: 'I', prepared: map[string]string{}}
	if _, err := c.Write([]byte("READY I " + s.position() + "\r\n")); err != nil {
		return
	}
	for {
		line, err := readLine(in)
		if err != nil {
			return
		}
		parts := strings.SplitN(line, " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		out, ok := s.query(parts[1], parts[2])
		if !ok {
			return
		}
		position := s.position()
		if u.g.cfg.hideBeginPosition && strings.HasPrefix(parts[2], "BEGIN") {
			position = "-"
		}
		if _, err := c.Write([]byte(out + "READY " + string(s.state) + " " + position + "\r\n")); err != nil {
			return
		}
	}
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (s *dbSession) position() string {
	s.u.g.mu.Lock()
	defer s.u.g.mu.Unlock()
	return s.u.g.position(s.u.applied())
}

// query answers a statement. It returns false if the upstream ends meanwhile.
func (s *dbSession) query(id, text string) (string, bool) {
	g := s.u.g
	if rest, ok := strings.CutPrefix(text, "AWAITPOS "); ok {
		position, rest, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		lacks := less(g.position(s.u.applied()), position)
		g.mu.Unlock()
		if lacks {
			return "ERROR LAGGING " + s.u.id + "\r\n", true
		}
		text = rest
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == 'E' && word != "ROLLBACK" && word != "COMMIT" {
		return "ERROR MALFORMED the transaction has failed\r\n", true
	}
	switch word {
	case "STATUS":
		return s.status(), true
	case "BEGIN":
		return s.begin(rest == ""), true
	case "ROLLBACK":
		s.state, s.writes = 'I', nil
		return done, true
	case "RESET":
		s.prepared = map[string]string{}
		return done, true
	case "SET":
		return done, true
	case "PREPARE":
		name, spec, _ := strings.Cut(rest, " ")
		mode, shape, _ := strings.Cut(spec, " ")
		if (mode != "READ" && mode != "WRITE") || shape == "" {
			return "ERROR MALFORMED PREPARE\r\n", true
		}
		s.prepared[name] = spec
		return done, true
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		spec, ok := s.prepared[name]
		if !ok {
			return "ERROR NOSUCHSTMT " + name + "\r\n", true
		}
		word, _, _ = strings.Cut(spec, " ")
		return s.run(id, text, word, spec+" "+args)
	}
	return s.run(id, text, word, rest)
}

const done = "COMPLETE -\r\n"

func (s *dbSession) status() string {
	g := s.u.g
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if s.u.isPrimary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", role, g.term, g.position(s.u.received()), len(s.u.conns)) + done
}

func (s *dbSession) begin(writable bool) string {
	g := s.u.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if writable && !s.u.isPrimary {
		return "ERROR READONLY " + s.u.id + "\r\n"
	}
	s.state, s.writable, s.term, s.writes = 'T', writable, g.term, nil
	return done
}

// hasLead reports whether the upstream leads in the term in which the open transaction began. The caller holds mu.
func (s *dbSession) hasLead() bool {
	return s.u.isPrimary && (s.state == 'I' || s.term == s.u.g.term)
}

// run runs a read, a write or a COMMIT.
func (s *dbSession) run(id, text, word, args string) (string, bool) {
	g := s.u.g
	if word != "COMMIT" {
		time.Sleep(g.cfg.work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.u.isDown {
		return "", false
	}
	wrote := len(s.writes) > 0 || word == "WRITE"
	if !s.hasLead() && (wrote || (s.state == 'T' && s.writable && word != "COMMIT")) {
		s.writes = nil
		if s.state == 'T' {
			s.state = 'E'
		}
		if word == "COMMIT" {
			s.state = 'I'
		}
		return "ERROR READONLY " + s.u.id + "\r\n", true
	}
	if g.onRun != nil {
		g.onRun(s.u, s.from, id, text)
	}
	signed := fmt.Sprintf("COMPLETE %s.%s\r\n", s.u.id, id)
	switch word {
	case "READ":
		if g.rows != nil {
			return g.rows(s.u, args) + signed, true
		}
		return "ROW " + args + "\r\n" + signed, true
	case "WRITE":
		s.writes = append(s.writes, id+" "+args)
		if s.state == 'T' {
			return signed, true
		}
	case "COMMIT":
		s.state = 'I'
	default:
		return "ERROR MALFORMED " + word + "\r\n", true
	}
	if len(s.writes) == 0 {
		return signed, true
	}
	n := g.commit(s.writes)
	s.writes = nil
	return signed, g.awaitReplicas(s.u, n)
}

// commit appends the writes to the log as one commit, and returns its length. The caller holds mu.
func (g *group) commit(writes []string) int {
	g.log = append(g.log, commit{g.term, writes})
	for _, m := range g.members {
		if !m.isPrimary && !m.isDown && m.deafSince.IsZero() {
			m.schedule(len(g.log))
		}
	}
	return len(g.log)
}

// awaitReplicas waits until enough replicas have received n entries. It returns false if the upstream has lost the
// lead or ended before. The caller holds mu.
func (g *group) awaitReplicas(u *upstream, n int) bool {
	term := g.term
	for {
		count := 0
		for _, m := range g.members {
			if !m.isPrimary && !m.isDown && m.received() >= n {
				count++
			}
		}
		if u.isDown || g.term != term {
			return false
		}
		if count >= g.cfg.syncReplicas {
			return true
		}
		g.mu.Unlock()
		time.Sleep(200 * time.Microsecond)
		g.mu.Lock()
	}
}

// less compares two positions.
func less(a, b string) bool {
	at, an := parsePosition(a)
	bt, bn := parsePosition(b)
	return at < bt || (at == bt && an < bn)
}

func parsePosition(s string) (term, n uint64) {
	t, number, _ := strings.Cut(s, ".")
	term, _ = strconv.ParseUint(t, 10, 64)
	n, _ = strconv.ParseUint(number, 10, 64)
	return term, n
}

//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replGroup is a stand-in for a service with syncReplicas 1: a commit is acknowledged once one replica has received it.
type replGroup struct {
	name string
	log  *record

	mu      sync.Mutex
	servers []*replServer
	primary *replServer
	term    int
	// base is the position at which the term began, commits are those of all terms that weren't rolled back.
	base    int
	commits []*replCommit
	// fence is the highest fencing token of a promotion.
	fence uint64
	// lost are the acknowledged commits that a promotion has rolled back.
	lost []*replCommit
}

type replCommit struct {
	id string
	// received is closed once a replica has received the commit.
	received     chan struct{}
	acknowledged bool
}

// drainTime is how long a draining backend serves on: drainMs and a little longer.
const drainTime = 11 * time.Second

// replServer is one backend. Its fields are guarded by the group's mu.
type replServer struct {
	g        *replGroup
	id, zone string
	ln       net.Listener
	// delay is the time that a commit takes from the primary.
	delay    time.Duration
	received int
	isClosed bool
	// isDraining is set once the backend is about to be removed, isGone once it has left.
	isDraining, isGone bool
	born               int64
	sequence           int
	slots              chan struct{}
	conns              map[net.Conn]struct{}
}

// replPlace is the zone of a backend and its distance from the primary.
type replPlace struct {
	zone  string
	delay time.Duration
}

func newReplGroup(name string, places []replPlace, slots int, log *record) *replGroup {
	g := &replGroup{name: name, log: log, term: 1, base: 0}
	for _, p := range places {
		g.add(p, slots)
	}
	g.primary = g.servers[0]
	return g
}

// add starts a backend, which holds the whole log.
func (g *replGroup) add(p replPlace, slots int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &replServer{
		g: g, id: fmt.Sprintf("i-%s-%d", g.name, len(g.servers)), zone: p.zone, ln: ln, delay: p.delay, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), conns: map[net.Conn]struct{}{}, received: len(g.commits),
	}
	g.servers = append(g.servers, s)
	go s.accept()
}

// release replaces the primary as planned: a new backend starts, the primary reports that it is draining, serves on for
// drainTime and leaves.
func (g *replGroup) release(st *kvStore) {
	g.mu.Lock()
	old := g.primary
	g.mu.Unlock()
	g.add(replPlace{old.zone, time.Millisecond}, cap(old.slots))
	g.write(st)
	time.Sleep(500 * time.Millisecond)
	g.mu.Lock()
	old.isDraining = true
	g.mu.Unlock()
	g.write(st)
	g.log.add("%s: the primary %s is draining", g.name, old.id)
	time.AfterFunc(drainTime, func() {
		g.mu.Lock()
		old.isGone = true
		_ = old.ln.Close()
		for c := range old.conns {
			_ = c.Close()
		}
		g.mu.Unlock()
		st.Delete("servers/" + old.id)
		g.log.add("%s: %s has left", g.name, old.id)
	})
}

// beat writes the discovery entries until the process ends.
func (g *replGroup) beat(st *kvStore) {
	g.write(st)
	go func() {
		for range time.Tick(time.Second) {
			g.write(st)
		}
	}()
}

func (g *replGroup) write(st *kvStore) {
	g.mu.Lock()
	servers := slices.Clone(g.servers)
	g.mu.Unlock()
	for _, s := range servers {
		g.mu.Lock()
		s.sequence++
		state := "ready"
		if s.isDraining {
			state = "draining"
		}
		role := "replica"
		if g.primary == s && !s.isClosed {
			role = "primary"
		}
		entry := map[string]any{
			"service": g.name, "address": s.ln.Addr().String(), "zone": s.zone, "configVersion": "v1", "slots": cap(s.slots),
			"state": state, "warmupLeftMs": 0, "dbRole": role, "sequence": s.sequence, "born": s.born,
		}
		isSilent := s.isGone
		g.mu.Unlock()
		if !isSilent {
			st.Put("servers/"+s.id, entry)
		}
	}
}

// promote executes a promotion: the backend leads the next term with what it had received.
func (g *replGroup) promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id || s.isGone || g.primary == s {
			continue
		}
		old := g.primary
		if old == nil {
			return
		}
		for _, c := range g.commits[s.received:] {
			if c.acknowledged {
				g.lost = append(g.lost, c)
			}
		}
		g.log.add("%s: %s is promoted at %d.%d, %s had %d.%d", g.name, s.id, g.term, s.received, old.id, g.term, len(g.commits))
		g.commits = g.commits[:s.received:s.received]
		for _, other := range g.servers {
			other.received = min(other.received, s.received)
			// The distance is that between the two.
			if other == old {
				other.delay = s.delay
			}
		}
		s.isClosed = false
		g.primary, g.base = s, s.received
		g.term++
	}
}

// commit appends a commit to the log of the primary and waits until a replica has received it. It returns false if it isn't
// acknowledged.
func (s *replServer) commit(id string) bool {
	g := s.g
	g.mu.Lock()
	if g.primary != s || s.isClosed || s.isGone {
		g.mu.Unlock()
		return false
	}
	c := &replCommit{id: id, received: make(chan struct{})}
	g.commits = append(g.commits, c)
	n, term := len(g.commits), g.term
	for _, r := range g.servers {
		if r == s {
			r.received = n
			continue
		}
		time.AfterFunc(r.delay, func() { r.receive(c, n, term) })
	}
	g.mu.Unlock()
	select {
	case <-c.received:
	case <-time.After(5 * time.Second):
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != s || g.term != term || s.isGone {
		return false
	}
	c.acknowledged = true
	return true
}

// receive notes that the replica has received the commit with the number.
func (s *replServer) receive(c *replCommit, n, term int) {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.isGone || g.term != term {
		return
	}
	s.received = max(s.received, n)
	select {
	case <-c.received:
	default:
		close(c.received)
	}
}

func (s *replServer) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *replServer) position() string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.positionLocked()
}

// positionLocked returns the end of the log. The caller holds mu.
func (s *replServer) positionLocked() string {
	term := s.g.term
	if s.received <= s.g.base && term > 1 {
		term--
	}
	return fmt.Sprintf("%d.%d", term, s.received)
}

func (s *replServer) leads() bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.primary == s && !s.isClosed
}

func (s *replServer) serve(c net.Conn) {
	s.g.mu.Lock()
	s.conns[c] = struct{}{}
	s.g.mu.Unlock()
	defer func() {
		s.g.mu.Lock()
		delete(s.conns, c)
		s.g.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "CONNECT" || f[1] != s.g.name || (len(f) > 3 && f[3] != s.id) {
		_, _ = fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", s.id)
		return
	}
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", s.position()); err != nil {
		return
	}
	inTx := false
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer, ok := s.run(id, text, &inTx)
		if !ok {
			return
		}
		state := "I"
		if inTx {
			state = "T"
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, state, s.position()); err != nil {
			return
		}
	}
}

// run runs one statement and returns its answer without READY, or false if it gets none.
func (s *replServer) run(id, text string, inTx *bool) (string, bool) {
	if p, ok := strings.CutPrefix(text, "AWAITPOS "); ok {
		pos, rest, _ := strings.Cut(p, " ")
		text = rest
		_, num, _ := strings.Cut(pos, ".")
		n, _ := strconv.Atoi(num)
		s.g.mu.Lock()
		lags := n > s.received
		s.g.mu.Unlock()
		if lags {
			return "ERROR LAGGING " + s.id + "\r\n", true
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "BEGIN":
		if rest != "READ" && !s.leads() {
			return "ERROR READONLY " + s.id + "\r\n", true
		}
		*inTx = true
		return "COMPLETE -\r\n", true
	case "ROLLBACK":
		*inTx = false
		return "COMPLETE -\r\n", true
	case "SET", "RESET", "PREPARE", "DEALLOC":
		return "COMPLETE -\r\n", true
	case "STATUS":
		return s.status(), true
	case "STEPDOWN":
		term, _ := strconv.Atoi(rest)
		s.g.mu.Lock()
		if s.g.primary == s && s.g.term < term && !s.isClosed {
			s.isClosed = true
			s.g.log.add("%s: %s steps down", s.g.name, s.id)
		}
		s.g.mu.Unlock()
		return s.status(), true
	case "SUSPEND", "RESUME":
		return s.status(), true
	}
	isWrite := word == "WRITE"
	if isWrite && !s.leads() {
		return "ERROR READONLY " + s.id + "\r\n", true
	}
	s.slots <- struct{}{}
	time.Sleep(3 * time.Millisecond)
	<-s.slots
	switch {
	case word == "COMMIT":
		*inTx = false
	case isWrite:
		if !s.commit(id) {
			return "", false
		}
	default:
		return fmt.Sprintf("ROW x\r\nCOMPLETE sig.%s\r\n", id), true
	}
	return fmt.Sprintf("COMPLETE sig.%s\r\n", id), true
}

func (s *replServer) status() string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	role := "replica"
	if s.g.primary == s && !s.isClosed {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\nCOMPLETE -\r\n", role, s.g.term, s.positionLocked(), len(s.conns))
}

// promotionCall is one call of the promotion duty.
type promotionCall struct {
	service, id, holder string
	token               uint64
}

// cloud serves the promotion call. It executes a promotion 300 ms after its call, unless late names a time for the service.
type cloud struct {
	log    *record
	groups map[string]*replGroup

	mu sync.Mutex
	// late is called with a call that gets no answer; it returns after which time the call is executed.
	late func(promotionCall) (time.Duration, bool)
}

// promoteTime is the time from a promotion call to its effect.
const promoteTime = 300 * time.Millisecond

func (cl *cloud) setLate(late func(promotionCall) (time.Duration, bool)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.late = late
}

func (cl *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	call := promotionCall{in.Service, in.ID, r.Header.Get("Duty-Holder"), token}
	cl.log.add("platform: %s asks to promote %s of %s, token %d", call.holder, call.id, call.service, call.token)
	cl.mu.Lock()
	late := cl.late
	cl.mu.Unlock()
	if late != nil {
		if after, ok := late(call); ok {
			cl.log.add("platform: the call isn't answered, and executed in %v", after)
			time.AfterFunc(after, func() { cl.execute(call) })
			<-r.Context().Done()
			return
		}
	}
	if !cl.execute(call) {
		reply(w, 409, nil)
		return
	}
	reply(w, 200, nil)
}

// execute checks the fence, and promotes the backend a little later. It returns false if the call is refused.
func (cl *cloud) execute(call promotionCall) bool {
	g := cl.groups[call.service]
	if g == nil {
		return false
	}
	g.mu.Lock()
	refused := call.token < g.fence
	for _, s := range g.servers {
		refused = refused || s.id == call.id && s.isGone
	}
	if !refused {
		g.fence = call.token
	}
	g.mu.Unlock()
	if refused {
		cl.log.add("platform: the call of %s for %s is refused", call.holder, call.id)
		return false
	}
	time.AfterFunc(promoteTime, func() { g.promote(call.id) })
	return true
}

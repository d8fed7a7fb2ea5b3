//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// group is a stand-in for a service: one primary and its replicas, which receive each commit at once.
type group struct {
	name string
	mu   sync.Mutex
	// data holds the committed items, number is that of the last commit.
	data    map[string]string
	number  int64
	term    int64
	primary string
	servers map[string]*server
	// ran notes each statement that a server has run.
	ran func(serverID, id, text string)
}

// server is one backend of a group.
type server struct {
	g     *group
	id    string
	ln    net.Listener
	born  int64
	slots chan struct{}
	work  time.Duration
	seq   atomic.Int64
	conns atomic.Int64
	limit int64
}

func newGroup(name string, n, slots int, work time.Duration, limit int64) *group {
	g := &group{name: name, data: map[string]string{}, number: 1, term: 1, servers: map[string]*server{}}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		s := &server{g: g, id: fmt.Sprintf("i-%s-%d", name, i), ln: ln, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), work: work, limit: limit}
		g.servers[s.id] = s
		if i == 0 {
			g.primary = s.id
		}
		go s.accept()
	}
	return g
}

// beat writes the discovery entries until the process ends.
func (g *group) beat(st *kvStore, zones []string) {
	write := func() {
		i := 0
		for n := range len(g.servers) {
			s := g.servers[fmt.Sprintf("i-%s-%d", g.name, n)]
			g.mu.Lock()
			role := "replica"
			if g.primary == s.id {
				role = "primary"
			}
			g.mu.Unlock()
			st.Put("servers/"+s.id, map[string]any{
				"service": g.name, "address": s.ln.Addr().String(), "zone": zones[i%len(zones)], "configVersion": "v1", "slots": cap(s.slots),
				"state": "ready", "warmupLeftMs": 0, "dbRole": role, "sequence": s.seq.Add(1), "born": s.born,
			})
			i++
		}
	}
	write()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			write()
		}
	}()
}

func (s *server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// backendSession is one connection to a server.
type backendSession struct {
	s        *server
	inTx     bool
	readOnly bool
	writes   map[string]string
	prepared map[string]string
	values   map[string]string
}

func (s *server) position() string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return fmt.Sprintf("%d.%d", s.g.term, s.g.number)
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 4096)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "CONNECT" || f[1] != s.g.name || (len(f) > 3 && f[3] != s.id) {
		_, _ = fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", s.id)
		return
	}
	defer s.conns.Add(-1)
	if s.conns.Add(1) > s.limit {
		_, _ = fmt.Fprintf(c, "ERROR OVERLOAD %s\r\n", s.id)
		return
	}
	_, _ = fmt.Fprintf(c, "READY I %s\r\n", s.position())
	b := &backendSession{s: s, prepared: map[string]string{}, values: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := b.run(id, text)
		state := "I"
		if b.inTx {
			state = "T"
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, state, s.position()); err != nil {
			return
		}
	}
}

func (b *backendSession) isPrimary() bool {
	b.s.g.mu.Lock()
	defer b.s.g.mu.Unlock()
	return b.s.g.primary == b.s.id
}

// run runs one statement and returns its answer without READY.
func (b *backendSession) run(id, text string) string {
	s := b.s
	if p, ok := strings.CutPrefix(text, "AWAITPOS "); ok {
		pos, rest, _ := strings.Cut(p, " ")
		text = rest
		_, num, _ := strings.Cut(pos, ".")
		n, _ := strconv.ParseInt(num, 10, 64)
		s.g.mu.Lock()
		lags := n > s.g.number
		s.g.mu.Unlock()
		if lags {
			return "ERROR LAGGING " + s.id + "\r\n"
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "BEGIN":
		if rest != "READ" && !b.isPrimary() {
			return "ERROR READONLY " + s.id + "\r\n"
		}
		b.inTx, b.readOnly, b.writes = true, rest == "READ", map[string]string{}
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		b.inTx, b.writes = false, nil
		return "COMPLETE -\r\n"
	case "SET":
		name, v, _ := strings.Cut(rest, " ")
		b.values[name] = v
		return "COMPLETE -\r\n"
	case "RESET":
		b.values, b.prepared = map[string]string{}, map[string]string{}
		return "COMPLETE -\r\n"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		b.prepared[name] = shape
		return "COMPLETE -\r\n"
	case "STATUS":
		role := "replica"
		if b.isPrimary() {
			role = "primary"
		}
		p := s.position()
		return fmt.Sprintf("ROW %s %s %s 0 0 0 %d\r\nCOMPLETE -\r\n", role, strings.Split(p, ".")[0], p, s.conns.Load())
	}
	isWrite := word == "WRITE"
	if word == "EXECUTE" {
		name, arg, _ := strings.Cut(rest, " ")
		shape, ok := b.prepared[name]
		if !ok {
			return "ERROR NOSUCHSTMT " + name + "\r\n"
		}
		isWrite = strings.HasPrefix(shape, "WRITE")
		rest = arg
	}
	if isWrite && !b.isPrimary() {
		return "ERROR READONLY " + s.id + "\r\n"
	}
	s.slots <- struct{}{}
	time.Sleep(s.work)
	<-s.slots
	if s.g.ran != nil {
		s.g.ran(s.id, id, text)
	}
	switch {
	case word == "COMMIT":
		if len(b.writes) > 0 {
			s.g.commit(b.writes)
		}
		b.inTx, b.writes = false, nil
	case isWrite:
		item, v, _ := strings.Cut(rest, " ")
		if b.inTx {
			b.writes[item] = v
			break
		}
		s.g.commit(map[string]string{item: v})
	default:
		s.g.mu.Lock()
		v := s.g.data[rest]
		s.g.mu.Unlock()
		return fmt.Sprintf("ROW %s\r\nCOMPLETE sig.%s\r\n", v, id)
	}
	return fmt.Sprintf("COMPLETE sig.%s\r\n", id)
}

func (g *group) commit(writes map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.number++
	for k, v := range writes {
		g.data[k] = v
	}
}

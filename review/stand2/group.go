package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of gbpc-shore.
const (
	slots          = 3
	maxConnections = 22
	replicaLag     = 8 * time.Millisecond
	promoteTime    = 300 * time.Millisecond
	connectTime    = 12 * time.Millisecond
	workTime       = 6 * time.Millisecond
)

// position is TERM.NUMBER of a log.
type position struct{ term, number int }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) less(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

func parsePosition(s string) position {
	term, number, _ := strings.Cut(s, ".")
	t, _ := strconv.Atoi(term)
	n, _ := strconv.Atoi(number)
	return position{t, n}
}

// commit is a committed write in the log.
type commit struct {
	id  string
	at  time.Time
	pos position
}

// execution is a caller's statement as an upstream runs it.
type execution struct {
	upstream, id, text string
	// values are the session values of the connection, and inTx whether a transaction was open on it.
	values  map[string]string
	inTx    bool
	isWrite bool
}

// hooks are the disruptions of a case. They are called with the group's mu held; nil means none.
type hooks struct {
	// refuse returns the error code with which the upstream fails a statement, or an empty text.
	refuse func(u *upstream, id, text string) string
	// loses reports whether the answer to a statement is lost after it has run.
	loses func(u *upstream, id, text string) bool
	// isCut reports whether the VM is partitioned from the upstream.
	isCut func(u *upstream, vm string) bool
	// ran is called for each statement of a caller that runs.
	ran func(e execution)
}

// groupConfig describes a group.
type groupConfig struct {
	service string
	// zones are those of the upstreams, the primary's first.
	zones []string
	// syncReplicas is the number of replicas that must have received a commit before it is acknowledged.
	syncReplicas int
}

// group is a database group whose upstreams share a log.
type group struct {
	groupConfig
	r        *run
	platform *platform
	hooks    hooks

	mu         sync.Mutex
	term       int
	members    []*upstream
	log        []commit
	rolledBack []commit
	// acked holds the ids of the writes that callers had an answer for, where a case needs them.
	acked      map[string]bool
	signatures map[string]string
	// rows are the rows of items; an item without rows has one short row.
	rows map[string][]string
}

// upstream is one backend of the group.
type upstream struct {
	g         *group
	id, zone  string
	ln        net.Listener
	isPrimary bool
	conns     int
	slots     chan struct{}
	// darkUntil is until when the upstream is silent.
	darkUntil time.Time
}

// newGroup starts the upstreams and registers them.
func newGroup(r *run, p *platform, cfg groupConfig) *group {
	g := &group{groupConfig: cfg, r: r, platform: p, term: 1, signatures: map[string]string{}, rows: map[string][]string{}, acked: map[string]bool{}}
	for _, zone := range cfg.zones {
		u := &upstream{g: g, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, ln: r.listen("127.0.0.1:0"), slots: make(chan struct{}, slots)}
		u.isPrimary = len(g.members) == 0
		g.members = append(g.members, u)
		go u.accept()
	}
	others := p.promote
	p.promote = func(service, id string) bool { return g.promote(service, id) || others(service, id) }
	for _, u := range g.members {
		u.register(1)
	}
	go g.heartbeat()
	return g
}

// heartbeat writes the discovery entries about every 1.2 s.
func (g *group) heartbeat() {
	for sequence := 2; ; sequence++ {
		time.Sleep(1200 * time.Millisecond)
		for _, u := range g.members {
			u.register(sequence)
		}
	}
}

func (u *upstream) register(sequence int) {
	u.g.mu.Lock()
	role, dark := "replica", u.isDark()
	if u.isPrimary {
		role = "primary"
	}
	u.g.mu.Unlock()
	if dark {
		return
	}
	u.g.platform.put("servers/"+u.id, map[string]any{
		"service": u.g.service, "address": u.ln.Addr().String(), "zone": u.zone, "configVersion": "v1", "slots": slots,
		"state": "ready", "warmupLeftMs": 0, "dbRole": role, "sequence": sequence, "born": u.g.r.began.UnixMilli(),
	})
}

// promote makes the upstream lead the next term some time later.
func (g *group) promote(service, id string) bool {
	i := slices.IndexFunc(g.members, func(u *upstream) bool { return u.id == id })
	if i < 0 || service != g.service {
		return false
	}
	chosen := g.members[i]
	g.mu.Lock()
	dark := chosen.isDark()
	g.mu.Unlock()
	if dark {
		return false
	}
	time.AfterFunc(promoteTime, func() {
		g.mu.Lock()
		if !chosen.isPrimary {
			g.term++
			kept := len(chosen.received())
			g.rolledBack = append(g.rolledBack, g.log[kept:]...)
			g.log = g.log[:kept:kept]
			for _, u := range g.members {
				u.isPrimary = u == chosen
			}
			g.r.notef("%s leads %s in term %d, %d commits are rolled back", chosen.id, g.service, g.term, len(g.rolledBack))
		}
		g.mu.Unlock()
		chosen.register(1)
	})
	return true
}

// primary returns the upstream that leads.
func (g *group) primary() *upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[g.leader()]
}

// isDark reports whether the upstream is silent. The caller holds the group's mu.
func (u *upstream) isDark() bool { return time.Now().Before(u.darkUntil) }

// applied returns what the upstream has applied of the log, and received what it has received. The caller holds mu.
func (u *upstream) applied() []commit { return u.logAfter(replicaLag) }

func (u *upstream) received() []commit { return u.logAfter(0) }

// logAfter returns what the upstream has received of the log for the time.
func (u *upstream) logAfter(d time.Duration) []commit {
	if u.isPrimary {
		return u.g.log
	}
	n := len(u.g.log)
	for n > 0 && time.Since(u.g.log[n-1].at) < u.g.members[u.g.leader()].delayTo(u)+d {
		n--
	}
	return u.g.log[:n]
}

// leader returns the index of the primary. The caller holds mu.
func (g *group) leader() int {
	return slices.IndexFunc(g.members, func(u *upstream) bool { return u.isPrimary })
}

// delayTo is the time that a message takes from one upstream to another, as on the sheet of gbpc-shore.
func (u *upstream) delayTo(v *upstream) time.Duration {
	if zones[u.zone] == zones[v.zone] {
		return 500 * time.Microsecond
	}
	return 12 * time.Millisecond
}

// position returns the end of what the upstream has applied. The caller holds mu.
func (u *upstream) position() position {
	return endOf(u.applied())
}

func endOf(log []commit) position {
	if len(log) == 0 {
		return position{1, 1}
	}
	return log[len(log)-1].pos
}

func (u *upstream) accept() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			u.serve(c)
		}()
	}
}

// conn is the state of a connection to an upstream.
type conn struct {
	u        *upstream
	vm       string
	status   byte
	readOnly bool
	term     int
	values   map[string]string
	prepared map[string]prepared
	writes   []string
	// unconfirmed is the length of the log that replicas must have received before the answer, or 0.
	unconfirmed int
}

// prepared is a prepared statement. Only the size of its shape is kept.
type prepared struct {
	isWrite bool
	size    int
}

func (u *upstream) serve(nc net.Conn) {
	in := bufio.NewReaderSize(nc, 1<<16)
	fields := strings.Fields(readLine(in))
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != u.g.service || len(fields) > 3 && fields[3] != u.id {
		_, _ = nc.Write([]byte("ERROR MISROUTED wrong service or id\r\n"))
		return
	}
	c := &conn{u: u, vm: fields[2], status: 'I', values: map[string]string{}, prepared: map[string]prepared{}}
	if !c.awaitPath() {
		return
	}
	if !u.open() {
		_, _ = nc.Write([]byte("ERROR OVERLOAD too many connections\r\n"))
		return
	}
	defer func() {
		u.g.mu.Lock()
		defer u.g.mu.Unlock()
		u.conns--
	}()
	u.hold(connectTime)
	if c.awaitPath() && c.write(nc, fmt.Sprintf("READY I %s\r\n", c.position())) {
		for c.serve(nc, readLine(in)) {
		}
	}
}

// open counts a connection, unless there are too many.
func (u *upstream) open() bool {
	u.g.mu.Lock()
	defer u.g.mu.Unlock()
	if u.conns >= maxConnections {
		return false
	}
	u.conns++
	return true
}

// hold takes a slot for the time.
func (u *upstream) hold(d time.Duration) {
	u.slots <- struct{}{}
	time.Sleep(d)
	<-u.slots
}

func (c *conn) position() position {
	c.u.g.mu.Lock()
	defer c.u.g.mu.Unlock()
	return c.u.position()
}

func (c *conn) isCut() bool {
	g := c.u.g
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.u.isDark() || g.hooks.isCut != nil && g.hooks.isCut(c.u, c.vm)
}

// awaitPath waits while the VM is partitioned from the upstream. An upstream drops such a connection after 3 s.
func (c *conn) awaitPath() bool {
	for end := time.Now().Add(3 * time.Second); c.isCut(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (c *conn) write(nc net.Conn, text string) bool {
	_, err := nc.Write([]byte(text))
	return err == nil
}

// readLine returns the next message, or an empty text at the end of the connection.
func readLine(in *bufio.Reader) string {
	line, err := in.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimSuffix(line, "\r\n")
}

// serve answers one message and reports whether the connection goes on.
func (c *conn) serve(nc net.Conn, line string) bool {
	if line == "" || line == "RELEASE" || !c.awaitPath() {
		return false
	}
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 3 || parts[0] != "QUERY" {
		return c.write(nc, fmt.Sprintf("ERROR MALFORMED x\r\nREADY %c -\r\n", c.status))
	}
	id, text := parts[1], parts[2]
	if id != "-" {
		c.u.hold(workTime)
	}
	g := c.u.g
	g.mu.Lock()
	body := c.run(id, text)
	isLost := g.hooks.loses != nil && g.hooks.loses(c.u, id, text)
	ready := fmt.Sprintf("READY %c %s\r\n", c.status, c.u.position())
	g.mu.Unlock()
	if isLost {
		return true
	}
	if !c.awaitReplicas() {
		return false
	}
	return c.awaitPath() && c.write(nc, body+ready)
}

// run executes a statement and returns the answer without the final READY. The caller holds the group's mu.
func (c *conn) run(id, text string) string {
	g := c.u.g
	if g.hooks.refuse != nil {
		if code := g.hooks.refuse(c.u, id, text); code != "" {
			return c.fail(text, code)
		}
	}
	if rest, ok := strings.CutPrefix(text, "AWAITPOS "); ok {
		want, rest, _ := strings.Cut(rest, " ")
		if c.u.position().less(parsePosition(want)) {
			return "ERROR LAGGING x\r\n"
		}
		text = rest
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.status == 'E' && word != "ROLLBACK" && word != "COMMIT" {
		return "ERROR MALFORMED the transaction has failed\r\n"
	}
	switch word {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return c.runCaller(id, text, word, rest)
	}
	return c.runOwn(word, rest)
}

// fail answers a statement that fails. It ends nothing but a transaction whose COMMIT fails.
func (c *conn) fail(text, code string) string {
	switch {
	case text == "COMMIT":
		c.status, c.writes = 'I', nil
	case c.status == 'T':
		c.status = 'E'
	}
	return "ERROR " + code + " the upstream fails part of its requests\r\n"
}

// runOwn runs a statement that the proxy issues itself.
func (c *conn) runOwn(word, rest string) string {
	switch word {
	case "BEGIN":
		switch {
		case c.status != 'I':
			return "ERROR MALFORMED a transaction is open\r\n"
		case rest == "" && !c.u.isPrimary:
			return "ERROR READONLY " + c.u.id + "\r\n"
		}
		c.status, c.readOnly, c.term, c.writes = 'T', rest != "", c.u.g.term, nil
	case "ROLLBACK":
		c.status, c.writes = 'I', nil
	case "RESET":
		c.values, c.prepared = map[string]string{}, map[string]prepared{}
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
	case "PREPARE":
		name, spec, _ := strings.Cut(rest, " ")
		c.prepared[name] = prepared{strings.HasPrefix(spec, "WRITE "), len(spec)}
	case "DEALLOC":
		delete(c.prepared, rest)
	case "STATUS":
		role := "replica"
		if c.u.isPrimary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\nCOMPLETE -\r\n", role, c.u.g.term, endOf(c.u.received()), c.u.conns)
	default:
		return "ERROR MALFORMED unknown\r\n"
	}
	return "COMPLETE -\r\n"
}

// runCaller runs a caller's statement.
func (c *conn) runCaller(id, text, word, rest string) string {
	g := c.u.g
	isWrite := word == "WRITE"
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		p, ok := c.prepared[name]
		if !ok {
			return "ERROR NOSUCHSTMT x\r\n"
		}
		isWrite, rest = p.isWrite, args
	}
	lostLead := c.status == 'T' && !c.readOnly && (!c.u.isPrimary || c.term != g.term)
	if lostLead && (word != "COMMIT" || len(c.writes) > 0) || isWrite && !c.u.isPrimary {
		if c.status == 'T' {
			c.status, c.writes = 'E', nil
		}
		if word == "COMMIT" {
			c.status = 'I'
		}
		return "ERROR READONLY " + c.u.id + "\r\n"
	}
	if g.hooks.ran != nil {
		g.hooks.ran(execution{c.u.id, id, text, cloneValues(c.values), c.status == 'T', isWrite})
	}
	signature := fmt.Sprintf("%016x", rand.Uint64())
	g.signatures[signature] = id
	signed := "COMPLETE " + signature + "\r\n"
	switch {
	case word == "COMMIT":
		c.commit()
		c.status = 'I'
	case isWrite:
		c.writes = append(c.writes, id)
		if c.status == 'I' {
			c.commit()
		}
	default:
		item, _, _ := strings.Cut(rest, " ")
		return g.rowsOf(item) + signed
	}
	return signed
}

func cloneValues(m map[string]string) map[string]string {
	out := make(map[string]string, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// rowsOf returns the rows of an item. The caller holds mu.
func (g *group) rowsOf(item string) string {
	rows, ok := g.rows[item]
	if !ok {
		rows = []string{"row-of-" + item}
	}
	var b strings.Builder
	for _, row := range rows {
		b.WriteString("ROW " + row + "\r\n")
	}
	return b.String()
}

// commit adds the writes of the transaction to the log.
func (c *conn) commit() {
	g := c.u.g
	for _, id := range c.writes {
		g.log = append(g.log, commit{id, time.Now(), position{g.term, len(g.log) + 2}})
		c.unconfirmed = len(g.log)
	}
	c.writes = nil
}

// awaitReplicas waits until enough replicas have received what the last statement committed, and their answers have
// arrived. It returns false if the upstream has lost the lead before.
func (c *conn) awaitReplicas() bool {
	g, n := c.u.g, c.unconfirmed
	c.unconfirmed = 0
	for n > 0 && g.syncReplicas > 0 {
		g.mu.Lock()
		count := 0
		for _, u := range g.members {
			if u != c.u && !u.isDark() && len(u.logAfter(u.delayTo(c.u))) >= n {
				count++
			}
		}
		leads := c.u.isPrimary
		g.mu.Unlock()
		switch {
		case !leads:
			return false
		case count >= g.syncReplicas:
			return true
		}
		time.Sleep(200 * time.Microsecond)
	}
	return true
}

// hasCommitted reports whether the write with the id is in the log.
func (g *group) hasCommitted(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.log, func(c commit) bool { return c.id == id })
}

// signer returns the id of the statement that the signature was given for.
func (g *group) signer(signature string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.signatures[signature]
}

// Databases of the configuration.
const (
	strictDatabase  = "lepu270"
	boundedDatabase = "xapu221ny95"
	ownDatabase     = "fiti832ti23"
)

// putConfig writes the operators' configuration, with the routes of gbpc-shore to the first group. Each further group has a
// route of the type primary, with its service's name.
func putConfig(p *platform, version int, groups ...*group) {
	route := func(host, service, kind string, timeout, target, priority, age int) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "prefix": "/", "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target,
			"priority": priority, "service": service, "maxAttempts": 2, "maxStalenessMs": age,
		}
	}
	first := groups[0].service
	routes := []any{
		route(strictDatabase, first, "primary", 800, 400, 0, 0), route(boundedDatabase, first, "bounded_staleness", 2000, 800, 1, 1500),
		route(ownDatabase, first, "read_own_writes", 800, 1500, 2, 2500),
	}
	var services []any
	for _, g := range groups {
		routes = append(routes, route(g.service, g.service, "primary", 800, 400, 0, 0))
		services = append(services, map[string]any{"name": g.service, "maxConnections": maxConnections, "syncReplicas": g.syncReplicas})
	}
	p.put("op/config", map[string]any{"configVersion": version, "routes": routes, "services": services, "limits": map[string]any{"txIdleMs": 3000}})
}

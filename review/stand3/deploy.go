//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fields are the platform's settings of one machine, as DEPLOY.md names them.
type fields map[string]string

var sectionRE = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}`)
var fieldRE = regexp.MustCompile(`\{\{([\w.@]+)\}\}`)

// render fills the template as the platform does, as far as deploy/entry.ini needs it.
func render(template string, f fields, zones map[string]string) string {
	out := sectionRE.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionRE.FindStringSubmatch(s)
		if m[1] == "zones" {
			var b strings.Builder
			for zone, region := range zones {
				b.WriteString(strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(m[2]))
			}
			return b.String()
		}
		if v := f[m[1]]; v == "" || v == "false" {
			return ""
		}
		return m[2]
	})
	return fieldRE.ReplaceAllStringFunc(out, func(s string) string { return f[strings.Trim(s, "{}")] })
}

// freePort returns a port that is free on the address.
func freePort(ip string) int {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

// machine is one machine of the deployment with its process.
type machine struct {
	name, ip, front, ready, settings string
	dir                              string
	fields                           fields

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir      string
	store    *kvStore
	machines []*machine
	group    *group
	log      *record
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &record{f: f, began: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.f, line)
	fmt.Println(line)
}

// deploymentConfig sizes a deployment.
type deploymentConfig struct {
	machines, memoryMb, maxFds int
	routes                     []map[string]any
	extra                      map[string]any
	settings                   fields
	slots                      int
	work                       time.Duration
	connections                int
	// Set by scripts with groups of their own: the zones with their regions, that of each machine, the services of the
	// configuration, the groups, and the platform's calls.
	zones        map[string]string
	machineZones []string
	services     []map[string]any
	start        func(*kvStore)
	cloud        http.Handler
}

// promotion answers the platform's promotion call. The stand-in executes it at once.
func (d *deployment) servePromotion(w http.ResponseWriter, r *http.Request) { reply(w, 200, nil) }

func newDeployment(cfg deploymentConfig, log *record) *deployment {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	d := &deployment{dir: dir, store: newStore(), log: log}
	storeLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(storeLn, d.store) }()
	cloudLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	if cfg.cloud != nil {
		mux.Handle("POST /promotion", cfg.cloud)
	} else {
		mux.HandleFunc("POST /promotion", d.servePromotion)
	}
	go func() { _ = http.Serve(cloudLn, mux) }()
	zoneNames := []string{"zone-a", "zone-b", "zone-c"}
	zones := map[string]string{"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-b"}
	services := cfg.services
	if cfg.start != nil {
		zones = cfg.zones
		cfg.start(d.store)
	} else {
		d.group = newGroup("ledger", 3, cfg.slots, cfg.work, int64(cfg.connections))
		d.group.beat(d.store, zoneNames)
		services = []map[string]any{{"name": "ledger", "healthPath": "/health", "maxConnections": cfg.connections, "protocol": "h1", "tls": false, "syncReplicas": 0}}
	}
	config := map[string]any{
		"configVersion": 7, "routes": cfg.routes, "services": services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	}
	for k, v := range cfg.extra {
		config[k] = v
	}
	d.store.Put("op/config", config)
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		panic(err)
	}
	for i := range cfg.machines {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), ip: ip, dir: dir}
		m.front = fmt.Sprintf("%s:%d", ip, freePort(ip))
		m.ready = fmt.Sprintf("%s:%d", ip, freePort(ip))
		zone := zoneNames[i%len(zoneNames)]
		if cfg.machineZones != nil {
			zone = cfg.machineZones[i]
		}
		f := fields{
			"nodeName": m.name, "zone": zone, "region": zones[zone], "ip": ip,
			"bindAddrs.front": m.front, "bindAddrs.ready": m.ready,
			"internalPorts.0": strconv.Itoa(freePort(ip)), "internalPorts.1": strconv.Itoa(freePort(ip)),
			"platform.address": storeLn.Addr().String(), "cloudApi.address": cloudLn.Addr().String(),
			"bounds.fencingRequired": "true", "bounds.configApplyMs": "5000", "bounds.drainMs": "10000", "bounds.graceS": "6",
			"bounds.revokeStrict": "", "bounds.revokeMs": "5000", "bounds.quotaWindowS": "5", "bounds.quotaExcess": "0.1", "bounds.quotaSlack": "20",
			"limits.memoryMb": strconv.Itoa(cfg.memoryMb), "limits.maxFds": strconv.Itoa(cfg.maxFds),
		}
		for k, v := range cfg.settings {
			f[k] = v
		}
		m.fields = f
		m.settings = filepath.Join(dir, m.name+".ini")
		if err := os.WriteFile(m.settings, []byte(render(string(template), f, zones)), 0o600); err != nil {
			panic(err)
		}
		d.machines = append(d.machines, m)
		m.start()
	}
	return d
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() {
	out, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command("target/snipewall", "entry", "--settings", m.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.ended = cmd, make(chan struct{})
	ended := m.ended
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(sig)
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// isReady asks the machine's ready address once.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.ready + "/snipewall/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all machines are ready. It reports false after 20 s.
func (d *deployment) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range d.machines {
			if m.isReady() {
				n++
			}
		}
		if n == len(d.machines) {
			return true
		}
	}
	return false
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// memory returns what the process holds: its resident memory and the bytes that were received for its sockets and not
// yet read, in bytes.
func (m *machine) memory() (resident, unread int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid()))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			resident = n << 10
		}
	}
	return resident, unreadBytes(m.front)
}

// unreadBytes returns the bytes in the receive queues of the established connections to the address.
func unreadBytes(address string) int64 {
	host, port, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	p, _ := strconv.Atoi(port)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], p)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	var sum int64
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		cols := strings.Fields(sc.Text())
		if len(cols) < 5 || cols[1] != local || cols[3] == "0A" {
			continue
		}
		_, rx, _ := strings.Cut(cols[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		sum += n
	}
	return sum
}

// client is one connection of a caller.
type client struct {
	c net.Conn
	r *bufio.Reader
}

// dial opens a session on the database. It returns an error if READY doesn't come within 2 s.
func dial(address, database, key string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{c, bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	hello := "CONNECT " + database
	if key != "" {
		hello += " " + key
	}
	if _, err := c.Write([]byte(hello + "\r\n")); err != nil {
		_ = c.Close()
		return nil, err
	}
	line, err := cl.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%s", strings.TrimSpace(line))
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return cl, nil
}

// query sends a statement and returns the lines of its answer.
func (cl *client) query(id, text string, limit time.Duration) ([]string, error) {
	_ = cl.c.SetDeadline(time.Now().Add(limit))
	if _, err := cl.c.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return nil, err
	}
	var lines []string
	for {
		line, err := cl.r.ReadString('\n')
		if err != nil {
			return lines, err
		}
		line = strings.TrimRight(line, "\r\n")
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY") {
			return lines, nil
		}
	}
}

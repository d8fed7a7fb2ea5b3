package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// startTimeout limits the start of a deployment, and each step of a test that has no limit of its own.
const startTimeout = 20 * time.Second

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "snipewall-e2e")
	if err != nil {
		return "", err
	}
	for name, pkg := range map[string]string{"snipewall": "snipewall", "standin": "snipewall/stand"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), pkg).CombinedOutput()
		if err != nil {
			return "", fmt.Errorf("build %s: %w: %s", pkg, err, out)
		}
	}
	return dir, nil
})

// maxDeployments limits the number of concurrent deployments, so that they don't starve each other on a
// busy machine.
const maxDeployments = "3"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", maxDeployments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	if dir, err := buildOnce(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a process of a deployment.
type process struct {
	name string
	cmd  *exec.Cmd
	end  chan error
	log  string
}

func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(sig))
}

// kill sends SIGKILL to the process and waits until it has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	p.end <- <-p.end
}

// entryVM holds the name, the addresses and the settings file of an entry VM.
type entryVM struct {
	id, domain                     string
	callers, control, relay, admin string
	settings                       string
}

// cluster is a deployment of one group: three upstreams, and entry VMs in three failure domains.
type cluster struct {
	t         *testing.T
	bin, dir  string
	platform  string
	upstreams []string
	// admins holds the upstreams' admin addresses, which injected faults don't affect.
	admins []string
	vms    []entryVM
	procs  map[string]*process
	// links holds the proxies between entry VMs and upstreams, by the index of the entry VM and of the
	// upstream. It is empty unless options.links is set.
	links [][]*linkProxy
	opts  options
}

// options configures a deployment.
type options struct {
	// vms is the number of entry VMs.
	vms int
	// upstream holds extra flags for the upstreams.
	upstream []string
	// callers holds extra lines for the section Callers of the entry VMs' settings, and settings holds extra
	// sections.
	callers, settings string
	// links inserts a linkProxy between each entry VM and each upstream.
	links bool
}

const tableCSV = `Kind,Rank,AcceptedAge,Idempotent,Deadline
current,middle,0s,false,4s
relaxed,last,5s,true,4s
`

// upstreamID returns the id of the i-th upstream.
func upstreamID(i int) string { return fmt.Sprintf("berth-%d", i+1) }

// newCluster starts a deployment with n entry VMs and with extra flags for the upstreams.
func newCluster(t *testing.T, n int, upstreamFlags ...string) *cluster {
	t.Helper()
	return options{vms: n, upstream: upstreamFlags}.start(t)
}

// start starts a deployment and waits until all entry VMs are ready.
func (o options) start(t *testing.T) *cluster {
	t.Helper()
	bin, err := buildOnce()
	assert.NilError(t, err)
	c := &cluster{t: t, bin: bin, dir: t.TempDir(), procs: make(map[string]*process), opts: o}
	ports := freePorts(t, 7+4*o.vms)
	c.platform = ports[0]
	c.upstreams = ports[1:4]
	c.admins = ports[4:7]
	for i := range o.vms {
		p := ports[7+4*i:]
		vm := entryVM{id: fmt.Sprintf("vm-%d", i+1), domain: fmt.Sprintf("domain-%d", i%3+1), callers: p[0], control: p[1], relay: p[2], admin: p[3]}
		vm.settings = filepath.Join(c.dir, vm.id+".ini")
		c.vms = append(c.vms, vm)
	}
	c.openLinks()
	c.writeSettings()
	c.start("platform", "standin", "platform", "--listen", c.platform)
	for i := range c.upstreams {
		c.startUpstream(i)
	}
	c.waitHTTP("http://" + c.platform + "/v1/vms")
	for _, vm := range c.vms {
		c.putVM(vm)
	}
	c.applyTable(tableCSV)
	for _, vm := range c.vms {
		c.startVM(vm)
	}
	for _, vm := range c.vms {
		c.waitHTTP("http://" + vm.admin + "/readyz")
	}
	return c
}

func (c *cluster) startUpstream(i int) {
	args := []string{
		"upstream", "--listen", c.upstreams[i], "--admin", c.admins[i],
		"--slots", "3", "--connections", "20", "--connect-time", "10ms",
	}
	args = append(args, c.opts.upstream...)
	if i > 0 {
		args = append(args, "--follow", c.upstreams[0])
	}
	c.start(upstreamID(i), "standin", args...)
}

func (c *cluster) startVM(vm entryVM) {
	c.start(vm.id, "snipewall", "serve", "--settings", vm.settings)
}

// start starts a process, which is killed at the end of the test.
func (c *cluster) start(name, program string, args ...string) {
	c.t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(c.bin, program), args...), end: make(chan error, 1)}
	p.log = filepath.Join(c.dir, name+".log")
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	assert.NilError(c.t, p.cmd.Start())
	go func() { p.end <- p.cmd.Wait() }()
	c.procs[name] = p
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		p.kill()
		_ = file.Close()
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", name, tail(p.log))
		}
	})
}

// tail returns the end of a file, or the error of reading it.
func tail(name string) string {
	data, err := os.ReadFile(name)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-3000):])
}

func (c *cluster) writeSettings() {
	var seeds []string
	for _, vm := range c.vms {
		seeds = append(seeds, vm.control)
	}
	for n, vm := range c.vms {
		var b strings.Builder
		fmt.Fprintf(&b, "[VM]\nID = %s\nFailureDomain = %s\nRegion = here\n", vm.id, vm.domain)
		fmt.Fprintf(&b, "[Listen]\nCallers = %s\nControl = %s\nRelay = %s\nAdmin = %s\n", vm.callers, vm.control, vm.relay, vm.admin)
		fmt.Fprintf(&b, "[Platform]\nAddress = %s\n[Peers]\nSeeds = %s\n", c.platform, strings.Join(seeds, ", "))
		fmt.Fprintf(&b, "[Callers]\nDefaultKind = current\n%s[Stop]\nGrace = 500ms\n%s", c.opts.callers, c.opts.settings)
		for i, address := range c.upstreams {
			if c.opts.links {
				address = c.links[n][i].address
			}
			fmt.Fprintf(&b, "[Upstream %s]\nGroup = berth\nAddress = %s\nFailureDomain = domain-%d\nRegion = here\n", upstreamID(i), address, i+1)
		}
		assert.NilError(c.t, os.WriteFile(vm.settings, []byte(b.String()), 0o600))
	}
}

// run runs a snipewall command and returns its output and exit code.
func (c *cluster) run(stdin string, args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(c.bin, "snipewall"), args...)
	cmd.Stdin = strings.NewReader(stdin)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// applyTable applies the first table of the deployment.
func (c *cluster) applyTable(csv string) {
	c.t.Helper()
	out, code := c.run(csv, "table", "apply", "--settings", c.vms[0].settings, "--base", "0", "--wait", "0s", "-")
	assert.Equal(c.t, code, 0, out)
}

func (c *cluster) putVM(vm entryVM) {
	c.put("/v1/vms/"+vm.id, map[string]string{"FailureDomain": vm.domain, "Region": "here", "Control": vm.control, "Relay": vm.relay})
}

// put sends value as JSON to the platform's simulator.
func (c *cluster) put(path string, value any) {
	c.t.Helper()
	body, err := json.Marshal(value)
	assert.NilError(c.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+c.platform+path, bytes.NewReader(body))
	assert.NilError(c.t, err)
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	assert.NilError(c.t, err)
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	assert.Equal(c.t, res.StatusCode, http.StatusOK, string(text))
}

// get decodes the JSON response of a URL into value.
func (c *cluster) get(url string, value any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(value)
}

func (c *cluster) waitHTTP(url string) {
	c.t.Helper()
	c.eventually(startTimeout, func() error {
		res, err := http.Get(url)
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answered %s", url, res.Status)
		}
		return nil
	})
}

// eventually repeats the check until it succeeds, and fails the test after the limit.
func (c *cluster) eventually(limit time.Duration, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %v", limit, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// primary returns the index of the group's primary according to the first entry VM that knows one.
func (c *cluster) primary() (int, error) {
	for _, vm := range c.vms {
		var status struct{ Primaries map[string]string }
		if err := c.get("http://"+vm.admin+"/status", &status); err != nil {
			continue
		}
		for i := range c.upstreams {
			if status.Primaries["berth"] == upstreamID(i) {
				return i, nil
			}
		}
	}
	return 0, errors.New("no entry VM knows a primary")
}

// connect opens a caller's connection. params are pairs of start-up parameters, without the prefix
// "snipewall.".
func (c *cluster) connect(vm entryVM, params ...string) *pgx.Conn {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cfg, err := pgx.ParseConfig("postgres://test@" + vm.callers + "/berth?sslmode=disable")
	assert.NilError(c.t, err)
	for i := 0; i+1 < len(params); i += 2 {
		cfg.RuntimeParams["snipewall."+params[i]] = params[i+1]
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
	})
	return conn
}

// The ports lie below the ephemeral ports, since an outgoing connection could take a port before the
// process that is to use it has started. Each test binary uses a block of its own, since two of them that
// run concurrently could find the same port free.
const (
	firstLockPort = 19900
	firstPort     = 20000
	blockSize     = 1000
	// blockCount is limited, so that the blocks don't overlap the ports of examples/.
	blockCount = 5
)

// blockLock is the listener that reserves the block of ports. It is kept in a global variable, since the
// garbage collector would close an unreferenced listener.
var blockLock net.Listener

// portBlock returns the first port of a block that no other test binary uses. A listener on the block's
// lock port reserves the block until this process ends.
var portBlock = sync.OnceValues(func() (int64, error) {
	for i := range blockCount {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstLockPort+i))
		if err == nil {
			blockLock = ln
			return firstPort + int64(i)*blockSize, nil
		}
	}
	return 0, errors.New("all blocks of ports are in use")
})

// portsTried counts the ports that freePorts has tried.
var portsTried atomic.Int64

// freePorts returns n loopback addresses whose ports are currently free.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	block, err := portBlock()
	assert.NilError(t, err)
	var addresses []string
	for len(addresses) < n {
		port := block + portsTried.Add(1)%blockSize
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = ln.Close() }()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses
}

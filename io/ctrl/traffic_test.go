package ctrl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/peers"
)

// maxFleet limits the fleet sizes of TestTraffic, which takes several minutes with 520.
var maxFleet = flag.Int("fleet", 64, "largest fleet to simulate")

// Estimates of the overhead of TCP/IP on the wire.
const (
	// segmentHeader is the size of the headers of one segment in bytes.
	segmentHeader = 52
	// connectionSegments is the number of segments that open and close a connection.
	connectionSegments = 7
)

// meter counts the traffic of all members together.
type meter struct {
	bytes, writes, dials, calls atomic.Int64
}

func (m *meter) reset() {
	for _, c := range []*atomic.Int64{&m.bytes, &m.writes, &m.dials, &m.calls} {
		c.Store(0)
	}
}

// meteredConn counts the writes and their bytes.
type meteredConn struct {
	net.Conn
	meter *meter
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	c.meter.writes.Add(1)
	return n, err
}

// meteredFleet is a fleet whose members use the real encoding over net.Pipe.
type meteredFleet struct {
	meter
	mu      sync.Mutex
	servers map[string]*Server
	conns   sync.WaitGroup
	// cpu is the CPU time of the process at the start of the current window.
	cpu time.Duration
}

func (f *meteredFleet) dial(_ context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	server := f.servers[address]
	f.mu.Unlock()
	if server == nil {
		return nil, errors.New("connection refused")
	}
	f.dials.Add(1)
	a, b := net.Pipe()
	f.conns.Go(func() { server.ServeConn(meteredConn{Conn: b, meter: &f.meter}) })
	return meteredConn{Conn: a, meter: &f.meter}, nil
}

// countingTransport counts the calls.
type countingTransport struct {
	peers.Transport
	meter *meter
}

func (c countingTransport) Ping(ctx context.Context, address string, req *peers.PingRequest) (*peers.PingAnswer, error) {
	c.meter.calls.Add(1)
	return c.Transport.Ping(ctx, address, req)
}

func (c countingTransport) Sync(ctx context.Context, address string, req *peers.SyncRequest) (*peers.SyncAnswer, error) {
	c.meter.calls.Add(1)
	return c.Transport.Sync(ctx, address, req)
}

// confirmedTable is a Table that answers each request for a confirmation.
type confirmedTable struct{}

func (confirmedTable) Version() core.Version                      { return 780 }
func (confirmedTable) Encoded() (core.Version, []byte)            { return 780, []byte("table") }
func (confirmedTable) Adopt([]byte, string) (core.Version, error) { return 780, nil }
func (confirmedTable) AwaitConfirmation(_ context.Context, age, wait time.Duration) core.Confirmation {
	return core.Confirmation{OK: true, Version: 780, Age: age, Held: wait}
}

// Guards against confirmations of the table that use more than a tenth of the 10 KB/s that an entry VM may use for
// all control tasks.
func TestConfirmationTraffic(t *testing.T) {
	const (
		calls = 100
		// Each entry VM asks one other in 2 s. Four of its domain ask it, and the root of the tree also the first
		// ones of three other domains.
		interval = 2 * time.Second
		asks     = 1 + 4 + 3
	)
	f := &meteredFleet{servers: make(map[string]*Server)}
	client := NewClient(ClientConfig{Dial: f.dial})
	var members []*peers.Peers
	for _, address := range []string{"10.20.0.0:7001", "10.20.0.1:7001"} {
		p, err := peers.New(peers.Config{Self: core.VM{ID: core.VMID(address), Control: address}, Transport: client, Table: confirmedTable{}})
		assert.NilError(t, err)
		f.servers[address] = NewServer(ServerConfig{Peers: p})
		members = append(members, p)
	}
	ask := func() {
		_, err := members[0].AskConfirmation(t.Context(), members[1].Self(), 123456789*time.Nanosecond, 1987654321*time.Nanosecond)
		assert.NilError(t, err)
	}
	ask()
	f.reset()
	for range calls {
		ask()
	}
	bytes := float64(f.bytes.Load()+f.writes.Load()*segmentHeader) / calls
	rate := bytes * asks / interval.Seconds()
	t.Logf("%.0f bytes for each request and answer with headers, %.0f B/s", bytes, rate)
	assert.Assert(t, rate <= 1000)
	assert.NilError(t, client.Close())
	for _, s := range f.servers {
		s.closeAll()
	}
	f.conns.Wait()
}

// Guards against control traffic per entry VM that grows with the fleet. The budget of an entry VM for
// all control tasks is 10 KB/s, and the membership protocol may use half of it while nothing changes.
func TestTraffic(t *testing.T) {
	for _, size := range []int{8, 64, 520} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			if size > *maxFleet {
				t.Skip("needs -fleet 520")
			}
			synctest.Test(t, func(t *testing.T) { measureTraffic(t, size) })
		})
	}
}

func measureTraffic(t *testing.T, size int) {
	f := &meteredFleet{servers: make(map[string]*Server)}
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error, size)
	var members []*peers.Peers
	var clients []*Client
	for i := range size {
		vm := core.VM{
			ID: core.VMID(fmt.Sprintf("entry-%03d", i)), FailureDomain: core.FailureDomain([]string{"galveston", "mobile-bay", "charleston", "tampa"}[i%4]),
			Region: "gulf-west", Control: fmt.Sprintf("10.20.%d.%d:7001", i/200, i%200), Relay: fmt.Sprintf("10.20.%d.%d:7002", i/200, i%200),
		}
		c := NewClient(ClientConfig{Dial: f.dial})
		p, err := peers.New(peers.Config{Self: vm, Seeds: []string{"10.20.0.0:7001", "10.20.0.1:7001"}, Transport: countingTransport{c, &f.meter}})
		assert.NilError(t, err)
		f.mu.Lock()
		f.servers[vm.Control] = NewServer(ServerConfig{Peers: p})
		f.mu.Unlock()
		members, clients = append(members, p), append(clients, c)
		go func() { ends <- p.Run(ctx) }()
		time.Sleep(7 * time.Millisecond)
	}
	f.window(t, size, "start", time.Minute)
	time.Sleep(time.Minute)
	for _, p := range members {
		assert.Equal(t, len(p.Alive()), size)
	}
	f.reset()
	quiet := f.window(t, size, "quiet", time.Minute)
	// 30 leaving marks in half a minute; an ordinary day has 273 changes of the fleet.
	for i := range 30 {
		members[i%size].MarkLeaving(core.UpstreamID(fmt.Sprintf("ledger-%d", i)), true)
		time.Sleep(time.Second)
	}
	f.window(t, size, "busy", 30*time.Second)
	cancel()
	for range size {
		assert.NilError(t, <-ends)
	}
	for _, c := range clients {
		assert.NilError(t, c.Close())
	}
	for _, s := range f.servers {
		s.closeAll()
	}
	f.conns.Wait()
	assert.Assert(t, quiet < 5000, "%f bytes per second", quiet)
}

// window returns the bytes per second of one member on the wire. It measures for d, except in the
// window "busy", where the caller has already spent the time.
func (f *meteredFleet) window(t *testing.T, size int, name string, d time.Duration) float64 {
	if name != "busy" {
		f.cpu = cpuTime(t)
		time.Sleep(d)
	}
	memberSeconds := float64(size) * d.Seconds()
	cpu := cpuTime(t)
	// Each byte is sent by one member and received by another one.
	payload := 2 * float64(f.bytes.Load()) / memberSeconds
	// Each segment is acknowledged.
	segments := 2*2*float64(f.writes.Load()) + 2*connectionSegments*float64(f.dials.Load())
	wire := payload + segments*segmentHeader/memberSeconds
	t.Logf("%d members, %s: payload %.0f B/s, on the wire about %.0f B/s, %.1f calls/s made and as many served, %.2f connections/s opened",
		size, name, payload, wire, float64(f.calls.Load())/memberSeconds, float64(f.dials.Load())/memberSeconds)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	t.Logf("%d members, %s: %.2f ms/s of CPU without the kernel's part, %.1f MB of heap and stacks each",
		size, name, 1000*(cpu-f.cpu).Seconds()/memberSeconds, float64(mem.HeapInuse+mem.StackInuse)/1e6/float64(size))
	f.cpu = cpu
	f.reset()
	return wire
}

func cpuTime(t *testing.T) time.Duration {
	var r syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

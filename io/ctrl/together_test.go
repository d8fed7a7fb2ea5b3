package ctrl

import (
	"context"
	"net"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/peers"
	"snipewall/core/table"
	"snipewall/io/store"
	"snipewall/stand/kvsim"
)

// Guards against parts that work alone but not wired up: three entry VMs over TCP, of which one
// starts while the platform is down, get the table and its next version.
func TestTableReachesAll(t *testing.T) {
	sim := kvsim.New(kvsim.Config{})
	srv := httptest.NewServer(sim)
	defer srv.Close()
	s, err := store.New(store.Config{Address: srv.URL})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var ends []chan error
	run := func(f func(context.Context) error) {
		end := make(chan error, 1)
		ends = append(ends, end)
		go func() { end <- f(ctx) }()
	}
	var keepers []*table.Cache
	var seeds []string
	start := func(id core.VMID) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		k := table.NewCache(table.CacheConfig{Store: s})
		c := NewClient(ClientConfig{})
		t.Cleanup(func() { assert.Check(t, c.Close()) })
		p, err := peers.New(peers.Config{
			Self:  core.VM{ID: id, FailureDomain: "galveston", Control: l.Addr().String()},
			Seeds: seeds, Transport: c, Platform: s, Table: k,
		})
		assert.NilError(t, err)
		k.SetPeers(p)
		server := NewServer(ServerConfig{Peers: p})
		run(func(ctx context.Context) error { return server.Serve(ctx, l) })
		run(p.Run)
		run(k.Run)
		keepers, seeds = append(keepers, k), append(seeds, l.Addr().String())
	}
	wait := func(v core.Version) {
		for start := time.Now(); slices.ContainsFunc(keepers, func(k *table.Cache) bool { return k.Version() != v }); {
			assert.Assert(t, time.Since(start) < 10*time.Second, "version %d is not in force everywhere", v)
			time.Sleep(10 * time.Millisecond)
		}
	}
	edit := func(base core.Version, text string) {
		tab, err := table.Parse([]byte(text))
		assert.NilError(t, err)
		_, err = table.NewEditor(table.EditorConfig{Store: s}).Apply(ctx, table.Edit{ID: table.NewEditID(), Base: base, Table: tab})
		assert.NilError(t, err)
	}
	edit(0, "Kind\nquote\n")
	start("vm-1")
	start("vm-2")
	wait(1)
	assert.NilError(t, sim.SetFault(kvsim.FaultDown, "true"))
	start("vm-3")
	wait(1)
	assert.NilError(t, sim.ClearFault(kvsim.FaultDown))
	edit(1, "Kind,Rank\nquote,urgent\n")
	wait(2)
	cancel()
	for _, end := range ends {
		assert.NilError(t, <-end)
	}
}

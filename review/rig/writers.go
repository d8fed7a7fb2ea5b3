package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// writers are callers that write, each in a session of its own, and remember which writes were acknowledged.
type writers struct {
	e     *env
	host  string
	think time.Duration

	mu sync.Mutex
	// acked holds when each acknowledged write was answered, by its request id.
	acked map[string]time.Time
	tries int
	wg    sync.WaitGroup
}

// startWriters starts n sessions, spread over the VMs. They end with ctx.
func (e *env) startWriters(ctx context.Context, host string, n int, think time.Duration) *writers {
	w := &writers{e: e, host: host, think: think, acked: map[string]time.Time{}}
	for i := range n {
		vm := e.fleet.vms[i%len(e.fleet.vms)]
		w.wg.Go(func() { w.run(ctx, vm, fmt.Sprintf("w%d", i)) })
	}
	return w
}

func (w *writers) run(ctx context.Context, vm *entryVM, name string) {
	for ctx.Err() == nil {
		c, err := connect(ctx, vm.callers, w.host, name, w.e.rec)
		if err != nil {
			pause(ctx, 200*time.Millisecond)
			continue
		}
		w.session(ctx, c, name)
		c.close()
	}
}

// session writes until the session ends.
func (w *writers) session(ctx context.Context, c *client, name string) {
	for i := 0; pause(ctx, w.think); i++ {
		id, r, err := c.query(fmt.Sprintf("WRITE %s%d data%d", name, i%10, i))
		w.mu.Lock()
		w.tries++
		if err == nil && r.code == "" && strings.Contains(r.signature, ".") {
			w.acked[id] = time.Now()
		}
		w.mu.Unlock()
		if err != nil {
			return
		}
		if r.code != "" {
			pause(ctx, 50*time.Millisecond)
		}
	}
}

// counts returns the number of writes sent and acknowledged.
func (w *writers) counts() (tries, acked int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tries, len(w.acked)
}

// cutOff is what a promotion has cut off the log.
type cutOff struct {
	group, upstream string
	// ids are the request ids of the writes.
	ids []string
}

// sendCutOffs sends what each promotion cuts off the log of the group.
func (g *group) sendCutOffs(out chan<- cutOff) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onPromote = func(u *upstream, old, log []commit) {
		c := cutOff{group: g.cfg.name, upstream: u.id}
		for _, entry := range old[len(log):] {
			for _, write := range entry.writes {
				id, _, _ := strings.Cut(write, " ")
				c.ids = append(c.ids, id)
			}
		}
		out <- c
	}
}

// lost returns the writes of the cut off part that were acknowledged to their callers.
func (w *writers) lost(c cutOff) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, id := range c.ids {
		if _, ok := w.acked[id]; ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// judge reports how many acknowledged writes are missing in the log of the promoted upstream.
func (w *writers) judge(c cutOff) int {
	lost := w.lost(c)
	w.e.rec.tell("upstream %s was promoted; its log lacks %d commits, of which %d were acknowledged: %v", c.upstream, len(c.ids), len(lost), lost)
	return len(lost)
}

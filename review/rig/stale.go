package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxStaleness is maxStalenessMs of the route, staleMargin what a read may exceed it by here.
const (
	maxStaleness = 1500 * time.Millisecond
	staleMargin  = 100 * time.Millisecond
	// staleTime is how long the replicas lag.
	staleTime = 6500 * time.Millisecond
)

// ackedCommit is the position of a commit and when its caller got the answer.
type ackedCommit struct {
	number uint64
	at     time.Time
}

// staleWatch collects the acknowledged commits and checks the reads.
type staleWatch struct {
	e           *env
	mu          sync.Mutex
	commits     []ackedCommit
	reads       int
	stale       int
	worstBehind time.Duration
}

// playStale lets replicas apply their logs late, while the callers of one VM write and those of the other read. The
// upstreams answer BEGIN with the position "-".
func playStale(ctx context.Context, e *env) error {
	cfg := syncGroup()
	cfg.syncReplicas, cfg.hideBeginPosition = 0, true
	g, all, err := e.startGroup(ctx, cfg)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.rows = func(u *upstream, _ string) string {
		return fmt.Sprintf("ROW %d\r\n", firstPosition+u.applied())
	}
	g.mu.Unlock()
	if err := e.startVMs(ctx, 2); err != nil {
		return err
	}
	calling, stop := context.WithCancel(ctx)
	defer stop()
	s := &staleWatch{e: e}
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { s.call(calling, e.fleet.vms[0], "seals-booking", fmt.Sprintf("w%d", i), s.write) })
	}
	for i := range 4 {
		wg.Go(func() { s.call(calling, e.fleet.vms[1], "seals-quote", fmt.Sprintf("r%d", i), s.read) })
	}
	pause(ctx, 4*time.Second)
	if e.trouble {
		e.rec.tell("the replicas apply %d times as late", lagFactor)
		for _, u := range all[1:] {
			u.setLag(func() time.Duration { return lagFactor * replicaLag() })
		}
	}
	pause(ctx, staleTime)
	stop()
	wg.Wait()
	e.rec.tell("%d commits acknowledged, %d reads answered, %d of them stale", len(s.commits), s.reads, s.stale)
	if s.reads == 0 || len(s.commits) == 0 {
		return fmt.Errorf("no statement was answered")
	}
	if s.stale > 0 {
		return fmt.Errorf("STALE: %d reads lacked a commit acknowledged more than maxStalenessMs before, the worst one acknowledged %.1f s before: %w",
			s.stale, s.worstBehind.Seconds(), errBroken)
	}
	return nil
}

// call sends statements in sessions of its own until ctx ends.
func (s *staleWatch) call(ctx context.Context, vm *entryVM, host, name string, statement func(c *client) error) {
	for ctx.Err() == nil {
		c, err := connect(ctx, vm.callers, host, name, s.e.rec)
		if err != nil {
			pause(ctx, 200*time.Millisecond)
			continue
		}
		for err == nil && pause(ctx, 50*time.Millisecond) {
			err = statement(c)
		}
		c.close()
	}
}

func (s *staleWatch) write(c *client) error {
	_, r, err := c.query("WRITE a data")
	if err == nil && r.code == "" {
		_, n := parsePosition(c.position)
		s.mu.Lock()
		s.commits = append(s.commits, ackedCommit{n, time.Now()})
		s.mu.Unlock()
	}
	return err
}

func (s *staleWatch) read(c *client) error {
	sent := time.Now()
	id, r, err := c.query("READ a")
	if err != nil || r.code != "" || len(r.rows) != 1 {
		return err
	}
	has, err := strconv.ParseUint(strings.TrimSpace(r.rows[0]), 10, 64)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	isStale := false
	for _, commit := range s.commits {
		before := sent.Sub(commit.at)
		if commit.number > has && before > maxStaleness+staleMargin {
			isStale = true
			s.worstBehind = max(s.worstBehind, before)
		}
	}
	if isStale {
		s.stale++
		s.e.rec.note("read %s ran on a log up to %d, which is too old", id, has)
	}
	return nil
}

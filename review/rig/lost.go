package main

import (
	"context"
	"fmt"
	"time"
)

// syncGroup is a service whose commits are acknowledged once a replica has received them.
func syncGroup() groupConfig {
	return groupConfig{
		name: "seals", maxConnections: 32, slots: 2, syncReplicas: 1, work: 3 * time.Millisecond,
		promoteTime: 300 * time.Millisecond, inZone: 200 * time.Microsecond, crossRegion: 12 * time.Millisecond,
	}
}

// startGroup starts a primary and two replicas, one in each zone.
func (e *env) startGroup(ctx context.Context, cfg groupConfig) (*group, []*upstream, error) {
	g := newGroup(cfg, e.store, e.rec)
	e.groups = append(e.groups, g)
	var all []*upstream
	for i, zone := range zones {
		u, err := g.add(ctx, "127.0.0.1", fmt.Sprintf("i-%s-%d", cfg.name, i+1), zone, replicaLag)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, u)
	}
	e.putConfig(cfg,
		routeTo(cfg, cfg.name+"-booking", "primary", 800, 0, 0),
		routeTo(cfg, cfg.name+"-quote", "bounded_staleness", 2000, 1, 1500),
		routeTo(cfg, cfg.name+"-progress", "read_own_writes", 800, 2, 2500),
	)
	return g, all, nil
}

const (
	// lagFactor is how many times as late one replica applies what it receives, deafTime how long the other one
	// has received nothing when the primary crashes.
	lagFactor = 60
	deafTime  = 1500 * time.Millisecond
	// entryTime is the time until the entry of a crashed upstream is removed: three heartbeat intervals.
	entryTime = 3600 * time.Millisecond
)

// playLag lets one replica apply its log late and the other receive nothing for a while, and crashes the primary
// meanwhile. The first one has received all acknowledged commits.
func playLag(ctx context.Context, e *env) error {
	g, all, err := e.startGroup(ctx, syncGroup())
	if err != nil {
		return err
	}
	promotions := make(chan cutOff, 8)
	g.sendCutOffs(promotions)
	if err := e.startVMs(ctx, 4); err != nil {
		return err
	}
	writing, stop := context.WithCancel(ctx)
	defer stop()
	w := e.startWriters(writing, "seals-booking", 8, 100*time.Millisecond)
	pause(ctx, 4*time.Second)
	if e.trouble {
		e.rec.tell("replica %s applies %d times as late", all[1].id, lagFactor)
		all[1].setLag(func() time.Duration { return lagFactor * replicaLag() })
	}
	pause(ctx, 4*time.Second)
	if e.trouble {
		all[2].setDeaf(true)
		pause(ctx, deafTime)
		e.rec.tell("primary %s crashes", all[0].id)
		all[0].crash(entryTime)
	}
	broken := 0
	select {
	case c := <-promotions:
		// Answers that were on their way arrive.
		pause(ctx, 500*time.Millisecond)
		broken = w.judge(c)
	case <-time.After(15 * time.Second):
		e.rec.tell("no upstream was promoted")
	}
	stop()
	w.wg.Wait()
	tries, acked := w.counts()
	e.rec.tell("%d writes sent, %d acknowledged", tries, acked)
	if acked == 0 {
		return fmt.Errorf("no write was acknowledged")
	}
	if broken > 0 {
		return fmt.Errorf("LOST: %d acknowledged commits aren't in the log of the promoted backend: %w", broken, errBroken)
	}
	return nil
}

const (
	// drainTime is how long a draining upstream serves, releaseEvery the time between two releases.
	drainTime    = 7500 * time.Millisecond
	releaseEvery = 9 * time.Second
	maxReleases  = 8
	// releaseLead is how much earlier the new upstream starts.
	releaseLead = 500 * time.Millisecond
)

// serviceCount is the number of services on the users' sheet.
const serviceCount = 3

// playRelease replaces the primaries of all services again and again: a new upstream starts in the zone of each, then
// it drains. It ends once the rule is broken.
func playRelease(ctx context.Context, e *env) error {
	promotions := make(chan cutOff, 64)
	for i := range serviceCount {
		cfg := syncGroup()
		cfg.name = fmt.Sprintf("seals%d", i+1)
		g, _, err := e.startGroup(ctx, cfg)
		if err != nil {
			return err
		}
		g.sendCutOffs(promotions)
	}
	if err := e.startVMs(ctx, 4); err != nil {
		return err
	}
	writing, stop := context.WithCancel(ctx)
	defer stop()
	writersOf := map[string]*writers{}
	for _, g := range e.groups {
		writersOf[g.cfg.name] = e.startWriters(writing, g.cfg.name+"-booking", 8, 100*time.Millisecond)
	}
	pause(ctx, 4*time.Second)
	broken := 0
	for i := 0; i < maxReleases && broken == 0; i++ {
		if e.trouble {
			if err := e.releaseAll(ctx, i); err != nil {
				return err
			}
		}
		next := time.After(releaseEvery)
	waiting:
		for {
			select {
			case c := <-promotions:
				// Answers that were on their way arrive.
				pause(ctx, 500*time.Millisecond)
				broken += writersOf[c.group].judge(c)
			case <-next:
				break waiting
			}
		}
	}
	stop()
	tries, acked := 0, 0
	for _, w := range writersOf {
		w.wg.Wait()
		t, a := w.counts()
		tries, acked = tries+t, acked+a
	}
	e.rec.tell("%d writes sent, %d acknowledged", tries, acked)
	if acked == 0 {
		return fmt.Errorf("no write was acknowledged")
	}
	if broken > 0 {
		return fmt.Errorf("LOST: %d acknowledged commits weren't in the log of a promoted backend: %w", broken, errBroken)
	}
	return nil
}

// releaseAll releases the primaries of all services.
func (e *env) releaseAll(ctx context.Context, n int) error {
	for _, g := range e.groups {
		if err := e.release(ctx, g, n); err != nil {
			return err
		}
	}
	return nil
}

// release starts an upstream in the primary's zone and lets the primary drain.
func (e *env) release(ctx context.Context, g *group, n int) error {
	old := g.primary()
	if old == nil {
		return fmt.Errorf("there is no primary to release")
	}
	u, err := g.add(ctx, "127.0.0.1", fmt.Sprintf("i-%s-new%d", g.cfg.name, n+1), old.zone, replicaLag)
	if err != nil {
		return err
	}
	if !pause(ctx, releaseLead) {
		return ctx.Err()
	}
	e.rec.tell("release: %s has started, %s drains", u.id, old.id)
	old.leave()
	time.AfterFunc(drainTime, func() {
		old.crash(0)
		g.forget(old)
	})
	return nil
}

// forget removes an upstream that has ended.
func (g *group) forget(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, m := range g.members {
		if m == u {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return
		}
	}
}

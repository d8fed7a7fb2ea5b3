// Rig plays the cases of the review that are scripts. It starts entry VMs as separate processes, on loopback
// addresses and before stand-ins of the platform, the upstreams and the callers, and checks one rule.
//
// # Usage
//
//	rig -case NAME -record FILE [-trouble=false]
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// errBroken says that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// caseTime limits a case, including the start of the processes.
const caseTime = 110 * time.Second

// env is what a case plays on.
type env struct {
	rec     *record
	store   *store
	fleet   *fleet
	trouble bool
	groups  []*group
	// The operators' configuration.
	version  int
	routes   []route
	services []any
}

var cases = map[string]func(ctx context.Context, e *env) error{
	"lag": playLag, "release": playRelease, "drain": playDrain, "shape": playShape, "memory": playMemory, "stale": playStale, "leak": playLeak, "recover": playRecover,
}

func main() {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	program := flag.String("program", "target/snipewall", "program under test")
	template := flag.String("template", "deploy/entry.ini", "template of its settings")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Println("unknown case")
		os.Exit(2)
	}
	os.Exit(run(play, *path, *program, *template, *trouble))
}

func run(play func(context.Context, *env) error, path, program, template string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = rec.close() }()
	err = setUp(rec, program, template, trouble, play)
	switch {
	case errors.Is(err, errBroken):
		rec.tell("BROKEN: %v", err)
		return 1
	case err != nil:
		rec.tell("not run: %v", err)
		return 2
	}
	rec.tell("the rule held")
	return 0
}

// setUp prepares the stand-ins of the platform and plays the case.
func setUp(rec *record, program, template string, trouble bool, play func(context.Context, *env) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	e := &env{rec: rec, store: newStore(rec), trouble: trouble}
	e.store.promote = e.promote
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go e.store.serve(ctx, ln)
	subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	e.fleet = &fleet{
		program: program, template: template, dir: dir, net: subnet, storeAddress: ln.Addr().String(), cloud: ln.Addr().String(),
		zones: zones, rec: rec,
	}
	defer e.fleet.stopAll()
	stopOnSignal(e.fleet)
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		defer func() { _ = os.CopyFS(keep, os.DirFS(dir)) }()
	}
	return play(ctx, e)
}

// promote begins a promotion in the group of the service.
func (e *env) promote(service, id string) bool {
	for _, g := range e.groups {
		if g.promote(service, id) {
			return true
		}
	}
	return false
}

// stopOnSignal ends all processes if the case is interrupted.
func stopOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		f.stopAll()
		os.Exit(2)
	}()
}

// zones are the zones of the deployment, each in a region of its own.
var zones = []string{"north", "mid", "south"}

// route is a route of the operators' configuration.
type route map[string]any

// putConfig adds a service with its routes to the operators' configuration and writes a new version of it.
func (e *env) putConfig(cfg groupConfig, routes ...route) {
	e.routes = append(e.routes, routes...)
	e.services = append(e.services, map[string]any{
		"name": cfg.name, "healthPath": "/health", "maxConnections": cfg.maxConnections, "protocol": "h1", "tls": false,
		"syncReplicas": cfg.syncReplicas,
	})
	e.publish()
}

// addRoute and dropRoute write a version with one route more or less.
func (e *env) addRoute(r route) {
	e.routes = append(e.routes, r)
	e.publish()
}

func (e *env) dropRoute(host string) {
	e.routes = slices.DeleteFunc(slices.Clone(e.routes), func(r route) bool { return r["host"] == host })
	e.publish()
}

// publish writes the operators' configuration.
func (e *env) publish() {
	e.version += 3
	e.store.put("op/config", map[string]any{
		"configVersion": e.version, "routes": e.routes, "services": e.services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	})
}

// routeTo returns a route like those of the users' sheet.
func routeTo(cfg groupConfig, host, routeType string, timeoutMs, priority, maxStalenessMs int) route {
	r := route{
		"name": "r-" + host, "host": host, "prefix": "/", "routeType": routeType, "timeoutMs": timeoutMs, "targetLatencyMs": timeoutMs / 2,
		"priority": priority, "service": cfg.name, "maxAttempts": 2,
	}
	if maxStalenessMs > 0 {
		r["maxStalenessMs"] = maxStalenessMs
	}
	return r
}

// startVMs starts n VMs, in the zones by turns, and waits until they are ready.
func (e *env) startVMs(ctx context.Context, n int) error {
	var started []*entryVM
	for i := range n {
		vm, err := e.fleet.start(ctx, zones[i%len(zones)])
		if err != nil {
			return err
		}
		started = append(started, vm)
	}
	for _, vm := range started {
		if err := vm.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// replicaLag returns the time until a commit is applied: 60 ms on average, as on the users' sheet.
func replicaLag() time.Duration {
	const mean, spread = 60.0, 0.6
	ms := mean * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	return time.Duration(ms * float64(time.Millisecond))
}

// pause sleeps, and reports whether the case may go on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

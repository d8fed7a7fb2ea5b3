package dbsim

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// linkClass tells who is at the other end of a connection.
type linkClass uint32

const (
	linkUnknown linkClass = iota
	linkCaller
	linkUpstream
	linkClasses
)

// direction is a direction of a connection as the upstream sees it.
type direction uint32

const (
	inward direction = iota
	outward
	directions
)

// loss says what happens to an answer that is to be lost: the connection is closed, or goes silent.
type loss uint8

const (
	lossNone loss = iota
	lossClose
	lossSilent
)

// faults holds the faults in force. It is safe for concurrent use.
type faults struct {
	// active is set while any fault may be in force, to keep the common path cheap.
	active atomic.Bool
	mu     sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	cut     [linkClasses][directions]bool
	frozen  bool
	late    time.Duration
	slow    float64
	lose    map[string]loss
	// silenced counts the switches to silence per class; a link that is older than the last one of
	// its class is silent.
	silenced [linkClasses]uint64
	// shipLag and applyLag are the replication lags.
	shipLag  time.Duration
	applyLag time.Duration
	// sets counts the changes per name, so that a timed end doesn't undo a later change.
	sets map[string]int
}

func newFaults(shipLag, applyLag time.Duration) *faults {
	return &faults{
		changed:  make(chan struct{}),
		slow:     1,
		lose:     make(map[string]loss),
		sets:     make(map[string]int),
		shipLag:  shipLag,
		applyLag: applyLag,
	}
}

// Names of faults.
const (
	// FaultCut holds back traffic. Its value is callers, upstreams or both, with an optional :in or
	// :out for one direction, or off. What was held back arrives when the cut ends.
	FaultCut = "cut"
	// FaultFreeze stops the upstream like a paused process.
	FaultFreeze = "freeze"
	// FaultLateAnswer delays each answer by the duration.
	FaultLateAnswer = "late"
	// FaultSilent makes the open connections of callers, upstreams or both go silent for good. New
	// connections work.
	FaultSilent = "silent"
	// FaultSlow multiplies service times and delays by the factor.
	FaultSlow = "slow"
	// FaultLoseAnswer loses the next answer to prepare, promote, follow, status or commit, after it took
	// effect. The connection is closed, or goes silent with the suffix :silent.
	FaultLoseAnswer = "lose"
	// FaultLeaving makes the status report that the upstream is leaving.
	FaultLeaving = "leaving"
	// FaultShipLag delays entries on their way into the replica's log.
	FaultShipLag = "ship-lag"
	// FaultApplyLag delays the visibility of entries that are in the replica's log.
	FaultApplyLag = "apply-lag"
)

// Fault switches a fault on or off. A value may end in @DURATION, after which the fault is switched
// off: "on@800ms".
func (s *Server) Fault(name, value string) error {
	value, d, err := splitSpan(value)
	if err != nil {
		return err
	}
	n, err := s.setFault(name, value)
	if err != nil {
		return err
	}
	if d > 0 {
		time.AfterFunc(d, func() { s.endFault(name, n) })
	}
	return nil
}

// CheckFault returns an error if Fault would not accept the name and value.
func CheckFault(name, value string) error {
	value, _, err := splitSpan(value)
	if err != nil || name == FaultLeaving {
		return err
	}
	return newFaults(0, 0).set(name, value)
}

// splitSpan splits a value off the duration after which the fault ends, 0 if there is none.
func splitSpan(s string) (value string, d time.Duration, err error) {
	value, span, timed := strings.Cut(s, "@")
	if !timed {
		return value, 0, nil
	}
	if d, err = time.ParseDuration(span); err != nil || d <= 0 {
		return "", 0, sqlErrorf(stateBadParameter, "%q is not a positive duration", span)
	}
	return value, d, nil
}

// endFault switches the fault off unless it was set again.
func (s *Server) endFault(name string, n int) {
	s.faults.mu.Lock()
	stale := s.faults.sets[name] != n
	s.faults.mu.Unlock()
	if stale {
		return
	}
	_, _ = s.setFault(name, "off")
}

func (s *Server) setFault(name, value string) (int, error) {
	f := s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	var err error
	if name == FaultLeaving {
		s.db.SetLeaving(value != "off")
	} else {
		err = f.set(name, value)
	}
	if err != nil {
		return 0, err
	}
	f.sets[name]++
	f.active.Store(true)
	close(f.changed)
	f.changed = make(chan struct{})
	return f.sets[name], nil
}

// set changes one fault. The caller holds the mutex.
func (f *faults) set(name, value string) error {
	var err error
	switch name {
	case FaultCut:
		return f.setCut(value)
	case FaultFreeze:
		f.frozen = value != "off"
	case FaultLateAnswer:
		f.late, err = parseLag(value)
	case FaultSlow:
		f.slow, err = parseFactor(value)
	case FaultShipLag:
		f.shipLag, err = parseLag(value)
	case FaultApplyLag:
		f.applyLag, err = parseLag(value)
	case FaultSilent:
		return f.setSilent(value)
	case FaultLoseAnswer:
		return f.setLose(value)
	default:
		err = sqlErrorf(stateBadParameter, "there is no fault %q", name)
	}
	return err
}

func parseLag(value string) (time.Duration, error) {
	if value == "off" {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return 0, sqlErrorf(stateBadParameter, "%v", err)
	}
	return d, nil
}

func parseFactor(value string) (float64, error) {
	if value == "off" {
		return 1, nil
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || n <= 0 {
		return 1, sqlErrorf(stateBadParameter, "factor %q is not a positive number", value)
	}
	return n, nil
}

func parseClasses(value string) ([]linkClass, error) {
	switch value {
	case "callers":
		return []linkClass{linkCaller}, nil
	case "upstreams":
		return []linkClass{linkUpstream}, nil
	case "both", "on":
		return []linkClass{linkUnknown, linkCaller, linkUpstream}, nil
	}
	return nil, sqlErrorf(stateBadParameter, "%q is none of callers, upstreams, both", value)
}

func (f *faults) setCut(value string) error {
	if value == "off" {
		f.cut = [linkClasses][directions]bool{}
		return nil
	}
	name, way, oneWay := strings.Cut(value, ":")
	if oneWay && way != "in" && way != "out" {
		return sqlErrorf(stateBadParameter, "%q is neither in nor out", way)
	}
	classes, err := parseClasses(name)
	if err != nil {
		return err
	}
	for _, c := range classes {
		f.cut[c][inward] = f.cut[c][inward] || way != "out"
		f.cut[c][outward] = f.cut[c][outward] || way != "in"
	}
	return nil
}

func (f *faults) setSilent(value string) error {
	if value == "off" {
		return nil
	}
	classes, err := parseClasses(value)
	if err != nil {
		return err
	}
	for _, c := range classes {
		f.silenced[c]++
	}
	return nil
}

func (f *faults) setLose(value string) error {
	if value == "off" {
		clear(f.lose)
		return nil
	}
	name, how, _ := strings.Cut(value, ":")
	switch name {
	case "prepare", "promote", "follow", "status", "commit":
	default:
		return sqlErrorf(stateBadParameter, "answers to %q can't be lost", name)
	}
	f.lose[name] = lossClose
	if how == "silent" {
		f.lose[name] = lossSilent
	}
	return nil
}

// takeLoss returns whether the next answer to the operation is to be lost, once.
func (f *faults) takeLoss(name string) loss {
	if !f.active.Load() {
		return lossNone
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.lose[name]
	delete(f.lose, name)
	return l
}

// lag returns the replication lags.
func (f *faults) lag() (ship, apply time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shipLag, f.applyLag
}

// scale multiplies a duration by the slow factor.
func (f *faults) scale(d time.Duration) time.Duration {
	if d == 0 || !f.active.Load() {
		return d
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * f.slow)
}

func (f *faults) lateness() time.Duration {
	if !f.active.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// silencedCount returns how often links of the class were silenced.
func (f *faults) silencedCount(c linkClass) uint64 {
	if !f.active.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silenced[c]
}

// await waits while traffic of the class in the direction is held back, until ctx ends.
func (f *faults) await(ctx context.Context, c linkClass, d direction) error {
	return f.awaitWhile(ctx, func() bool { return f.frozen || f.cut[c][d] })
}

// awaitThaw waits while the upstream is frozen.
func (f *faults) awaitThaw(ctx context.Context) error {
	return f.awaitWhile(ctx, func() bool { return f.frozen })
}

func (f *faults) awaitWhile(ctx context.Context, held func() bool) error {
	for f.active.Load() {
		f.mu.Lock()
		changed := f.changed
		wait := held()
		f.mu.Unlock()
		if !wait {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// change returns a channel that is closed at the next change of a fault.
func (f *faults) change() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

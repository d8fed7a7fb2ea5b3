package dbsim

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// linkClass classifies connections by their peer. Faults can affect one class only.
type linkClass uint32

const (
	linkUnknown linkClass = iota
	linkCaller
	linkUpstream
	linkClassCount
)

// direction is a direction of traffic, from the upstream's point of view.
type direction uint32

const (
	inward direction = iota
	outward
	directionCount
)

// loss is whether a fault drops a response, and what the connection does instead: it is closed or goes
// silent.
type loss uint8

const (
	lossNone loss = iota
	lossClose
	lossSilent
)

// faults holds the faults that are on. It is safe for concurrent use.
type faults struct {
	// active is set by the first fault, so that a server without faults needs no lock to check for them.
	active atomic.Bool
	mu     sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	cut     [linkClassCount][directionCount]bool
	frozen  bool
	// lateBy is the delay of FaultLateAnswer.
	lateBy time.Duration
	// slow is the factor of FaultSlow.
	slow   float64
	losses map[string]loss
	// silenced counts how often FaultSilent was set for each class. A link that was opened before the
	// last time is silent.
	silenced [linkClassCount]uint64
	// shipLag and applyLag are the values of FaultShipLag and FaultApplyLag, initially those of Config.
	shipLag  time.Duration
	applyLag time.Duration
	// revisions counts the changes of each fault, so that the end of a timed fault doesn't undo a later
	// change.
	revisions map[string]int
}

func newFaults(shipLag, applyLag time.Duration) *faults {
	return &faults{
		changed:   make(chan struct{}),
		slow:      1,
		losses:    make(map[string]loss),
		revisions: make(map[string]int),
		shipLag:   shipLag,
		applyLag:  applyLag,
	}
}

// Names of the faults, as Server.Fault takes them.
const (
	// FaultCut holds back traffic. Its value is callers, upstreams or both, with an optional :in or :out
	// for one direction, or off. Traffic that was held back is delivered when the fault ends.
	FaultCut = "cut"
	// FaultFreeze makes the upstream behave like a suspended process.
	FaultFreeze = "freeze"
	// FaultLateAnswer delays each response to a caller by the duration.
	FaultLateAnswer = "late"
	// FaultSilent makes the open connections of callers, upstreams or both drop all traffic permanently,
	// without being closed. New connections are not affected.
	FaultSilent = "silent"
	// FaultSlow multiplies connect, service and control times and the network delay by the factor.
	FaultSlow = "slow"
	// FaultLoseAnswer drops the response to the next prepare, promote, follow, status or commit, after it
	// took effect. The connection is closed or, with the suffix :silent, goes silent.
	FaultLoseAnswer = "lose"
	// FaultLeaving makes the status report that the upstream is about to be removed.
	FaultLeaving = "leaving"
	// FaultShipLag delays entries from the primary before they enter the replica's log.
	FaultShipLag = "ship-lag"
	// FaultApplyLag delays entries in the replica's log before reads see them.
	FaultApplyLag = "apply-lag"
)

// Fault sets a fault to the value; off switches it off. A value may end in @DURATION, after which the
// fault is switched off: "on@800ms". It returns an error if the name or the value is invalid.
func (s *Server) Fault(name, value string) error {
	value, d, err := splitDuration(value)
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

// CheckFault returns the error that Fault would return, and changes nothing.
func CheckFault(name, value string) error {
	value, _, err := splitDuration(value)
	if err != nil || name == FaultLeaving {
		return err
	}
	return newFaults(0, 0).set(name, value)
}

// splitDuration splits VALUE@DURATION. The duration is 0 if there is none.
func splitDuration(s string) (value string, d time.Duration, err error) {
	value, span, timed := strings.Cut(s, "@")
	if !timed {
		return value, 0, nil
	}
	if d, err = time.ParseDuration(span); err != nil || d <= 0 {
		return "", 0, sqlErrorf(stateBadParameter, "%q is not a positive duration", span)
	}
	return value, d, nil
}

// endFault switches the fault off unless it was set again since the revision.
func (s *Server) endFault(name string, revision int) {
	s.faults.mu.Lock()
	stale := s.faults.revisions[name] != revision
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
	f.revisions[name]++
	f.active.Store(true)
	close(f.changed)
	f.changed = make(chan struct{})
	return f.revisions[name], nil
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
		f.lateBy, err = parseDelay(value)
	case FaultSlow:
		f.slow, err = parseFactor(value)
	case FaultShipLag:
		f.shipLag, err = parseDelay(value)
	case FaultApplyLag:
		f.applyLag, err = parseDelay(value)
	case FaultSilent:
		return f.setSilent(value)
	case FaultLoseAnswer:
		return f.setLose(value)
	default:
		err = sqlErrorf(stateBadParameter, "there is no fault %q", name)
	}
	return err
}

func parseDelay(value string) (time.Duration, error) {
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
		f.cut = [linkClassCount][directionCount]bool{}
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
		clear(f.losses)
		return nil
	}
	name, how, _ := strings.Cut(value, ":")
	switch name {
	case "prepare", "promote", "follow", "status", "commit":
	default:
		return sqlErrorf(stateBadParameter, "answers to %q can't be lost", name)
	}
	f.losses[name] = lossClose
	if how == "silent" {
		f.losses[name] = lossSilent
	}
	return nil
}

// takeLoss returns whether and how to drop the response to this operation, and clears it, so that only one
// response is dropped.
func (f *faults) takeLoss(name string) loss {
	if !f.active.Load() {
		return lossNone
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.losses[name]
	delete(f.losses, name)
	return l
}

// lag returns the replication lags.
func (f *faults) lag() (ship, apply time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shipLag, f.applyLag
}

// scale multiplies a duration by the factor of FaultSlow.
func (f *faults) scale(d time.Duration) time.Duration {
	if d == 0 || !f.active.Load() {
		return d
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * f.slow)
}

func (f *faults) answerDelay() time.Duration {
	if !f.active.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateBy
}

// silencedCount returns how often FaultSilent was set for the class.
func (f *faults) silencedCount(c linkClass) uint64 {
	if !f.active.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silenced[c]
}

// await blocks while traffic of the class in the direction is held back, at most until ctx ends.
func (f *faults) await(ctx context.Context, c linkClass, d direction) error {
	return f.awaitWhile(ctx, func() bool { return f.frozen || f.cut[c][d] })
}

// awaitThaw blocks while the upstream is frozen, at most until ctx ends.
func (f *faults) awaitThaw(ctx context.Context) error {
	return f.awaitWhile(ctx, func() bool { return f.frozen })
}

// awaitWhile blocks while isHeld, which is called with the mutex held, returns true.
func (f *faults) awaitWhile(ctx context.Context, isHeld func() bool) error {
	for f.active.Load() {
		f.mu.Lock()
		changed := f.changed
		wait := isHeld()
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

// nextChange returns a channel that is closed when a fault is set or ends.
func (f *faults) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

package elect

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

// maxEvents is the number of events that are kept for Dump.
const maxEvents = 32

// Event describes a step that has ended.
type Event struct {
	At   time.Time
	Step Step
	Term core.Term
	// Upstream is the upstream that the step acted on, or empty.
	Upstream core.UpstreamID `json:",omitempty"`
	Reason   Reason          `json:",omitempty"`
	// Took is the duration of the step. For StepDetect it is the time since the primary's last answer.
	Took time.Duration
	// Error is empty if the step succeeded.
	Error string `json:",omitempty"`
}

// Change is a completed change of primary with the durations of its phases.
type Change struct {
	Reason Reason
	// To is the new primary; it can be the old one.
	To   core.UpstreamID
	Term core.Term
	// Detection is the time from the old primary's last answer, or from when the reason first applied, to
	// the decision. Delay is the time for acquiring the lease and waiting for other drivers. Prepare
	// includes the drain of a planned change. Confirm is the time from the promotion to the first
	// confirmed position.
	Detection, Delay, Prepare, Promote, Confirm time.Duration
}

// Total returns the duration of the whole change.
func (c Change) Total() time.Duration {
	return c.Detection + c.Delay + c.Prepare + c.Promote + c.Confirm
}

// record stores the event for Dump, logs it and calls OnEvent.
func (d *Driver) record(e Event) {
	e.At = time.Now()
	d.mu.Lock()
	if len(d.events) == maxEvents {
		d.events = append(d.events[:0], d.events[1:]...)
	}
	d.events = append(d.events, e)
	d.mu.Unlock()
	d.logEvent(e)
	if d.cfg.OnEvent != nil {
		d.cfg.OnEvent(e)
	}
}

func (d *Driver) logEvent(e Event) {
	l := log.With(d.cfg.Logger, "Group", d.cfg.Group, "Step", e.Step, "Term", e.Term)
	if e.Upstream != "" {
		l = log.With(l, "Upstream", e.Upstream)
	}
	if e.Reason != "" {
		l = log.With(l, "Reason", e.Reason)
	}
	if e.Error != "" {
		l = log.With(l, "Err", e.Error)
	}
	if e.Error != "" {
		level.Warn(l).Log("Msg", "failover step failed", "TookMs", e.Took.Milliseconds())
		return
	}
	level.Info(l).Log("Msg", "failover step", "TookMs", e.Took.Milliseconds())
}

// errorText returns the text of the error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// State is the dump of a Driver.
type State struct {
	Group   core.GroupID
	Changes uint64
	Failed  uint64
	Reason  Reason `json:",omitempty"`
	Events  []Event
}

// Dump implements core.Dumper.
func (d *Driver) Dump() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{
		Group: d.cfg.Group, Changes: d.changes, Failed: d.failed, Reason: d.reason,
		Events: append([]Event(nil), d.events...),
	}
}

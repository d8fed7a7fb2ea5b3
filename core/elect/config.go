package elect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"snipewall/core"
	"snipewall/core/quorum"
)

// View is the part of the group's monitor that a driver uses. *quorum.Monitor implements it.
type View interface {
	// Reports returns one report per upstream in the order of the configuration.
	Reports() []quorum.Report
	// Changed delivers a value when the reports should be assessed before the next tick.
	Changed() <-chan struct{}
	Confirm(ctx context.Context, p core.Position) error
	Age(id core.UpstreamID) (time.Duration, bool)
	Suspect(id core.UpstreamID)
}

// Config configures a Driver. Store and Members may be nil. Zero durations take the defaults.
type Config struct {
	Group core.GroupID
	// Self is written into the lease.
	Self core.VMID
	// Upstreams are in the same order as the View's reports.
	Upstreams []core.Upstream
	View      View
	Store     core.Store
	Members   core.Members
	Logger    log.Logger
	Timing    Timing
	// Rand is the source of random delays; nil means a source with a random seed.
	Rand *rand.Rand
	// Hook, if set, is called before each step and may block. Tests use it to inject faults.
	Hook func(ctx context.Context, step Step, term core.Term)
	// OnEvent, if set, is called after each step, possibly from several goroutines at once. OnChange, if
	// set, is called after each completed change.
	OnEvent  func(Event)
	OnChange func(Change)
}

// Timing holds the durations of a driver.
type Timing struct {
	// SilentAfter is how long the primary may go without a successful status poll. It must exceed a slow
	// period of up to 1 s plus one lost poll.
	SilentAfter time.Duration
	// RefusedAfter is how long the primary may refuse connections.
	RefusedAfter time.Duration
	// LastContactWithin is how recently a replica must have heard from the primary to veto the change.
	LastContactWithin time.Duration
	// VetoTimeout is the duration of a failure after which a veto no longer counts.
	VetoTimeout time.Duration
	// NoPrimaryAfter is how long terms must stay unchanged without a primary. Another driver has this time
	// to complete its change.
	NoPrimaryAfter time.Duration
	// HigherTermAfter is how long an upstream must have promised a term above the primary's.
	HigherTermAfter time.Duration
	// FreshWithin is the age up to which a status shows that the upstream can be reached. It is longer
	// than the poll interval of an idle group.
	FreshWithin time.Duration
	// Tick is the time between checks of a group that isn't healthy, HealthyTick that of a healthy one.
	Tick, HealthyTick time.Duration
	// CallTimeout limits one control call to an upstream.
	CallTimeout time.Duration
	// StoreTimeout limits acquiring the lease as a whole, and releasing it.
	StoreTimeout time.Duration
	// LeaseTTL is the lifetime of the lease.
	LeaseTTL time.Duration
	// LeaseDelay is how long a driver waits if another VM holds the lease.
	LeaseDelay time.Duration
	// MaxStagger is the upper limit of the random delay without an answer from the store, and of the
	// random part after LeaseDelay.
	MaxStagger time.Duration
	// CatchUp is how long a planned change waits for a replica to catch up after the primary has stopped
	// commits.
	CatchUp time.Duration
	// MaxSuccessorAge is the highest age of a replica's data at which a planned change may start.
	MaxSuccessorAge time.Duration
	// PauseLimit is the time between two steps after which the driver assumes that its process was paused,
	// and starts over.
	PauseLimit time.Duration
	// RetryMin and RetryMax bound the random backoff between failed changes, which doubles.
	RetryMin, RetryMax time.Duration
	// RepairInterval is the shortest time between two repairs of one upstream.
	RepairInterval time.Duration
	// HeartbeatTimeout is how long a replica may go without hearing from a healthy primary before it is
	// repaired.
	HeartbeatTimeout time.Duration
}

// DefaultTiming returns the default durations.
func DefaultTiming() Timing {
	return Timing{
		SilentAfter:       1200 * time.Millisecond,
		RefusedAfter:      300 * time.Millisecond,
		LastContactWithin: 500 * time.Millisecond,
		VetoTimeout:       5 * time.Second,
		NoPrimaryAfter:    600 * time.Millisecond,
		HigherTermAfter:   time.Second,
		FreshWithin:       1500 * time.Millisecond,
		Tick:              20 * time.Millisecond,
		HealthyTick:       250 * time.Millisecond,
		CallTimeout:       500 * time.Millisecond,
		StoreTimeout:      200 * time.Millisecond,
		LeaseTTL:          10 * time.Second,
		LeaseDelay:        time.Second,
		MaxStagger:        200 * time.Millisecond,
		CatchUp:           500 * time.Millisecond,
		MaxSuccessorAge:   500 * time.Millisecond,
		PauseLimit:        time.Second,
		RetryMin:          100 * time.Millisecond,
		RetryMax:          2 * time.Second,
		RepairInterval:    time.Second,
		HeartbeatTimeout:  2 * time.Second,
	}
}

// setDefaults replaces durations that are not positive.
func (t *Timing) setDefaults() {
	d := DefaultTiming()
	pairs := []struct{ v, d *time.Duration }{
		{&t.SilentAfter, &d.SilentAfter}, {&t.RefusedAfter, &d.RefusedAfter},
		{&t.LastContactWithin, &d.LastContactWithin}, {&t.VetoTimeout, &d.VetoTimeout},
		{&t.NoPrimaryAfter, &d.NoPrimaryAfter}, {&t.HigherTermAfter, &d.HigherTermAfter},
		{&t.FreshWithin, &d.FreshWithin}, {&t.Tick, &d.Tick}, {&t.HealthyTick, &d.HealthyTick},
		{&t.CallTimeout, &d.CallTimeout}, {&t.StoreTimeout, &d.StoreTimeout},
		{&t.LeaseTTL, &d.LeaseTTL}, {&t.LeaseDelay, &d.LeaseDelay}, {&t.MaxStagger, &d.MaxStagger},
		{&t.CatchUp, &d.CatchUp}, {&t.MaxSuccessorAge, &d.MaxSuccessorAge},
		{&t.PauseLimit, &d.PauseLimit}, {&t.RetryMin, &d.RetryMin}, {&t.RetryMax, &d.RetryMax},
		{&t.RepairInterval, &d.RepairInterval}, {&t.HeartbeatTimeout, &d.HeartbeatTimeout},
	}
	for _, p := range pairs {
		if *p.v <= 0 {
			*p.v = *p.d
		}
	}
}

// New returns a driver. It does nothing until Run is called.
func New(cfg Config) *Driver {
	cfg.Timing.setDefaults()
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	n := len(cfg.Upstreams)
	return &Driver{
		cfg:             cfg,
		majority:        n/2 + 1,
		lease:           lease{store: cfg.Store, key: "snipewall/lead/" + string(cfg.Group), self: cfg.Self},
		repairedAt:      make([]time.Time, n),
		notLeavingSince: make([]time.Time, n),
		confirmResults:  make(chan confirmResult, 1),
	}
}

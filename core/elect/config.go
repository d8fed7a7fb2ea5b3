package elect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"snipewall/core"
	"snipewall/core/quorum"
)

// View is what a driver needs of the group's monitor. *quorum.Monitor implements it.
type View interface {
	// Reports returns one report per upstream in the order of the configuration.
	Reports() []quorum.Report
	// Changed delivers a value when Reports deserves a look before the next tick.
	Changed() <-chan struct{}
	Confirm(ctx context.Context, p core.Position) error
	Age(id core.UpstreamID) (time.Duration, bool)
	Suspect(id core.UpstreamID)
}

// Config constructs a Driver. Store and Members may be nil. Zero durations take the defaults.
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
	// Timing holds the durations.
	Timing Timing
	// Rand decides delays; nil uses the process's random source.
	Rand *rand.Rand
	// Hook, if set, is called before each step. Tests use it to inject faults; it may block.
	Hook func(ctx context.Context, step Step, term core.Term)
	// OnEvent, if set, is called after each step, and OnChange after each completed change. OnEvent
	// may be called by several goroutines at once.
	OnEvent  func(Event)
	OnChange func(Change)
}

// Timing holds the durations of a driver.
type Timing struct {
	// SilentAfter is how long the primary may give no successful status. A slow period below 1 s plus
	// one lost poll must fit.
	SilentAfter time.Duration
	// RefusedAfter is how long the primary may refuse connections.
	RefusedAfter time.Duration
	// HeardWithin is how recently a replica must have heard from the primary to veto the change.
	HeardWithin time.Duration
	// OverruleAfter is when the veto of replicas ends.
	OverruleAfter time.Duration
	// NoPrimaryAfter is how long terms must stand still without a primary. It leaves another driver
	// the time to complete its change.
	NoPrimaryAfter time.Duration
	// RaiseAfter is how long an upstream must have promised a term above the primary's.
	RaiseAfter time.Duration
	// FreshWithin is the age up to which a status counts as a sign that the upstream can be reached. It
	// is longer than the time between the polls of a quiet group.
	FreshWithin time.Duration
	// Tick is the time between looks while something is wrong, IdleTick otherwise.
	Tick, IdleTick time.Duration
	// CallTimeout limits one control call to an upstream.
	CallTimeout time.Duration
	// StoreTimeout limits all calls to the store before a change.
	StoreTimeout time.Duration
	// LeaseTTL is the lifetime of the lease.
	LeaseTTL time.Duration
	// LeaseDelay is how long a driver waits that finds the lease held.
	LeaseDelay time.Duration
	// Stagger is the longest random delay of a driver that gets no answer from the store.
	Stagger time.Duration
	// CatchUp is how long a planned change waits for a replica after the primary stopped commits.
	CatchUp time.Duration
	// CaughtUpAge is the age of a replica's data at which a planned change may start.
	CaughtUpAge time.Duration
	// PauseLimit is the time between steps after which the driver takes itself for paused and
	// decides anew.
	PauseLimit time.Duration
	// RetryMin and RetryMax bound the random backoff between failed changes, which doubles.
	RetryMin, RetryMax time.Duration
	// RepairEvery is the time between repairs of one upstream.
	RepairEvery time.Duration
	// RepairHeard is how long a replica may go without hearing from a healthy primary.
	RepairHeard time.Duration
}

// DefaultTiming returns the durations that snipewall uses.
func DefaultTiming() Timing {
	return Timing{
		SilentAfter:    1200 * time.Millisecond,
		RefusedAfter:   300 * time.Millisecond,
		HeardWithin:    500 * time.Millisecond,
		OverruleAfter:  5 * time.Second,
		NoPrimaryAfter: 600 * time.Millisecond,
		RaiseAfter:     time.Second,
		FreshWithin:    1500 * time.Millisecond,
		Tick:           20 * time.Millisecond,
		IdleTick:       250 * time.Millisecond,
		CallTimeout:    500 * time.Millisecond,
		StoreTimeout:   200 * time.Millisecond,
		LeaseTTL:       10 * time.Second,
		LeaseDelay:     time.Second,
		Stagger:        200 * time.Millisecond,
		CatchUp:        500 * time.Millisecond,
		CaughtUpAge:    500 * time.Millisecond,
		PauseLimit:     time.Second,
		RetryMin:       100 * time.Millisecond,
		RetryMax:       2 * time.Second,
		RepairEvery:    time.Second,
		RepairHeard:    2 * time.Second,
	}
}

// setDefaults fills in zero durations.
func (t *Timing) setDefaults() {
	d := DefaultTiming()
	pairs := []struct{ v, d *time.Duration }{
		{&t.SilentAfter, &d.SilentAfter}, {&t.RefusedAfter, &d.RefusedAfter},
		{&t.HeardWithin, &d.HeardWithin}, {&t.OverruleAfter, &d.OverruleAfter},
		{&t.NoPrimaryAfter, &d.NoPrimaryAfter}, {&t.RaiseAfter, &d.RaiseAfter},
		{&t.FreshWithin, &d.FreshWithin}, {&t.Tick, &d.Tick}, {&t.IdleTick, &d.IdleTick},
		{&t.CallTimeout, &d.CallTimeout}, {&t.StoreTimeout, &d.StoreTimeout},
		{&t.LeaseTTL, &d.LeaseTTL}, {&t.LeaseDelay, &d.LeaseDelay}, {&t.Stagger, &d.Stagger},
		{&t.CatchUp, &d.CatchUp}, {&t.CaughtUpAge, &d.CaughtUpAge},
		{&t.PauseLimit, &d.PauseLimit}, {&t.RetryMin, &d.RetryMin}, {&t.RetryMax, &d.RetryMax},
		{&t.RepairEvery, &d.RepairEvery}, {&t.RepairHeard, &d.RepairHeard},
	}
	for _, p := range pairs {
		if *p.v <= 0 {
			*p.v = *p.d
		}
	}
}

// New returns a driver that starts working when Run is called.
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
		cfg:      cfg,
		majority: n/2 + 1,
		lease:    lease{store: cfg.Store, key: "snipewall/lead/" + string(cfg.Group), self: cfg.Self},
		repaired: make([]time.Time, n),
		staying:  make([]time.Time, n),
		ends:     make(chan confirmEnd, 1),
	}
}

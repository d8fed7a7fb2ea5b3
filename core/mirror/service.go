package mirror

import (
	"maps"
	"slices"
	"time"

	"snipewall/core"
)

// maxHold limits how long a request of another VM is held, whatever it asks for.
const maxHold = 5 * time.Second

// minGain is how much newer than the caller's a mirror's confirmation must be to be told at once. Without it, two
// mirrors that watch each other would call without a pause.
const minGain = 100 * time.Millisecond

// WatchRequest asks another VM's mirror for the changes after a version. The mirror holds it for Wait at
// most, until it has a change or a new confirmation of the store.
type WatchRequest struct {
	Prefix string
	After  core.Version
	Wait   time.Duration
	// MaxBytes limits the size of the changed values; 0 means no limit.
	MaxBytes int
	// KnownAge is the age of the caller's confirmation. A mirror with a newer one answers at once. Builds that don't
	// know it send 0.
	KnownAge time.Duration
}

// WatchAnswer holds the changes up to At. Compacted is set if the mirror no longer has all of them, TooLarge if they
// exceed the limit of the request and are left out.
type WatchAnswer struct {
	Events              []core.Event
	At                  core.Version
	Compacted, TooLarge bool
	// Lost is set if the mirror's last call to the store failed and no other mirror has confirmed its view.
	Lost bool
	// HasAge is set if Held and Age are valid. Builds whose answers confirm nothing don't set it.
	HasAge bool
	// Held is how long the mirror held the request, Age how old the store's confirmation was after that.
	Held, Age time.Duration
}

// ListRequest asks another VM's mirror for all entries with a prefix, complete up to MinVersion at least and with
// a confirmation of the store that is not older than MaxAge.
type ListRequest struct {
	Prefix     string
	MinVersion core.Version
	MaxAge     time.Duration
	// MaxBytes limits the size of the values; 0 means no limit.
	MaxBytes int
}

// ListAnswer holds the entries if OK is set. They are complete up to At.
type ListAnswer struct {
	OK      bool
	Entries []core.Entry
	At      core.Version
	// confirmedAt is a time at which the store had no other changes; set by the caller.
	confirmedAt core.Instant
}

// Service serves watches and listings of other VMs over RPC.
type Service struct{ m *Mirror }

// Service returns the RPC service, which must be registered as "Mirror".
func (m *Mirror) Service() *Service { return &Service{m} }

// Watch returns the changes that req asks for.
func (s *Service) Watch(req *WatchRequest, out *WatchAnswer) error {
	*out = s.m.serveWatch(req)
	return nil
}

// List returns the entries that req asks for.
func (s *Service) List(req *ListRequest, out *ListAnswer) error {
	*out = s.m.serveList(req)
	return nil
}

func (m *Mirror) serveList(req *ListRequest) ListAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view(req.Prefix)
	if v.entries == nil || v.entriesAt < req.MinVersion || v.entriesAt.Era() != m.cfg.Eras.Newest() || v.age(m.cfg.Now()) > req.MaxAge {
		return ListAnswer{}
	}
	n := 0
	for _, e := range v.entries {
		n += len(e.Value)
	}
	if req.MaxBytes > 0 && n > req.MaxBytes {
		return ListAnswer{}
	}
	return ListAnswer{OK: true, Entries: slices.Collect(maps.Values(v.entries)), At: v.entriesAt}
}

func (m *Mirror) serveWatch(req *WatchRequest) WatchAnswer {
	began := m.cfg.Now()
	m.cfg.Eras.Note(req.After.Era())
	out, updated := m.answer(req, began)
	if out.Compacted || out.TooLarge || out.Lost || len(out.Events) > 0 || req.Wait <= 0 || out.Age < req.KnownAge-minGain {
		return out
	}
	timer := time.NewTimer(min(req.Wait, maxHold))
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	}
	out, _ = m.answer(req, began)
	return out
}

// answer returns what is known now, and a channel that is closed when there is more.
func (m *Mirror) answer(req *WatchRequest, began core.Instant) (WatchAnswer, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view(req.Prefix)
	if !m.cfg.Eras.Note(v.maxVersion.Era()) || v.maxVersion.Era() < req.After.Era() {
		// What this VM knows is of an older era, and confirms nothing about the newest one.
		return WatchAnswer{Lost: true, At: v.maxVersion}, nil
	}
	events, complete := v.eventsAfter(req.After)
	if !complete {
		return WatchAnswer{Compacted: true, At: v.maxVersion}, nil
	}
	if req.MaxBytes > 0 && (v.hasLarge || size(events) > req.MaxBytes) {
		return WatchAnswer{TooLarge: true}, nil
	}
	now := m.cfg.Now()
	return WatchAnswer{
		Events: events, At: max(req.After, v.maxVersion), Lost: v.isLost, HasAge: true, Held: now.Sub(began), Age: v.age(now),
	}, v.updated
}

// size returns the size of the changed values in bytes.
func size(events []core.Event) int {
	n := 0
	for _, e := range events {
		n += len(e.Value)
	}
	return n
}

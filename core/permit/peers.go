package permit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

// Names of the RPC methods.
const (
	recordMethod = "Permit.Record"
	voteMethod   = "Permit.Vote"
	reachMethod  = "Permit.Reach"
)

// RecordRequest sends a group's record to another VM, which ends its permit if it is a hold.
type RecordRequest struct {
	Group   core.GroupID
	Record  Record
	Version core.Version
}

// RecordAnswer acknowledges the record. Refused is set if the VM doesn't hold the group although the record is a hold,
// since it knows a newer one, which is then Known.
type RecordAnswer struct {
	Refused bool
	Known   VersionedRecord
}

// VoteRequest asks another VM for the records that it knows.
type VoteRequest struct{}

// VoteAnswer holds the records by group. OK is set if the VM has read them from the store since its start.
type VoteAnswer struct {
	OK      bool
	Records map[core.GroupID]VersionedRecord
}

// VersionedRecord is a record with the newest version at which the store is known to have had it.
type VersionedRecord struct {
	Record  Record
	Version core.Version
}

// ReachRequest asks whether another VM reaches a primary.
type ReachRequest struct{ Upstream core.UpstreamID }

// ReachAnswer has OK set if the upstream has recently proved to the VM that it leads.
type ReachAnswer struct{ OK bool }

// errNewerRecord says that a VM knows a newer record than a hold.
var errNewerRecord = errors.New("a VM knows a newer record")

// Service serves calls of other VMs over RPC.
type Service struct{ g *Guard }

// Service returns the RPC service, which must be registered as "Permit".
func (g *Guard) Service() *Service { return &Service{g} }

// Record adopts a record. It answers once this VM no longer uses the old primary.
func (s *Service) Record(req *RecordRequest, out *RecordAnswer) error {
	s.g.adopt(req.Group, req.Record, req.Version)
	if !req.Record.Held {
		return nil
	}
	time.Sleep(req.Record.drain())
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	st := s.g.state.groups[req.Group].revoke()
	s.g.state.groups[req.Group] = st
	if !st.record.Held {
		*out = RecordAnswer{Refused: true, Known: VersionedRecord{st.record, st.writtenAt}}
	}
	return nil
}

// Vote returns the records that this VM knows.
func (s *Service) Vote(_ *VoteRequest, out *VoteAnswer) error {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	out.OK = s.g.state.life.confirmedAt != 0
	out.Records = make(map[core.GroupID]VersionedRecord, len(s.g.state.groups))
	for id, st := range s.g.state.groups {
		out.Records[id] = VersionedRecord{Record: st.record, Version: st.writtenAt}
	}
	return nil
}

// Reach reports whether this VM reaches a primary.
func (s *Service) Reach(req *ReachRequest, out *ReachAnswer) error {
	age, ok := s.g.cfg.ProvedAgo(req.Upstream)
	out.OK = ok && age <= reachAge
	return nil
}

// revoke ends the permit of a group, unless another record than the hold is known since.
func (g *Guard) revoke(id core.GroupID, r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if st := g.state.groups[id]; st.record == r {
		g.state.groups[id] = st.revoke()
	}
}

// Refresh reads the list of VMs again. It must be called between Write and Spread: a VM that isn't counted could
// use the old primary.
func (g *Guard) Refresh(ctx context.Context) error { return g.cfg.Members.Refresh(ctx) }

// Spread sends the group's record to all other VMs and counts those that acknowledged it, this one included.
func (g *Guard) Spread(ctx context.Context, id core.GroupID) Tally {
	g.mu.Lock()
	st := g.state.groups[id]
	g.mu.Unlock()
	req := &RecordRequest{Group: id, Record: st.record, Version: st.writtenAt}
	var mu sync.Mutex
	t := Tally{Members: 1, Held: 1}
	silent := []core.VMID{}
	g.callAll(ctx, spreadTimeout+st.record.drain(), func(ctx context.Context, vm core.VM) {
		var ans RecordAnswer
		err := g.cfg.Call(ctx, vm.Control, recordMethod, req, &ans)
		if err == nil && ans.Refused {
			g.adopt(id, ans.Known.Record, ans.Known.Version)
			err = errNewerRecord
		}
		mu.Lock()
		defer mu.Unlock()
		t.Members++
		if err != nil {
			silent = append(silent, vm.ID)
			return
		}
		t.Held++
	})
	if st.record.Held {
		g.revoke(id, st.record)
	}
	if len(silent) > 0 {
		level.Info(g.cfg.Log).Log("Msg", "VMs didn't acknowledge a record", "Group", id, "Held", st.record.Held, "Members", t.Members, "Silent", len(silent), "First", silent[0])
	}
	return t
}

// Reachable returns the VMs that have recently heard from the upstream that it leads.
func (g *Guard) Reachable(ctx context.Context, id core.UpstreamID) []core.VMID {
	var mu sync.Mutex
	var out []core.VMID
	g.callAll(ctx, spreadTimeout, func(ctx context.Context, vm core.VM) {
		var ans ReachAnswer
		if err := g.cfg.Call(ctx, vm.Control, reachMethod, &ReachRequest{Upstream: id}, &ans); err != nil || !ans.OK {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		out = append(out, vm.ID)
	})
	return out
}

// vote asks the other VMs for their records, and renews the permits if a majority answers.
func (g *Guard) vote(ctx context.Context) {
	began := g.cfg.Now()
	var mu sync.Mutex
	votes, members := 1, 1
	g.callAll(ctx, voteTimeout, func(ctx context.Context, vm core.VM) {
		var ans VoteAnswer
		err := g.cfg.Call(ctx, vm.Control, voteMethod, &VoteRequest{}, &ans)
		for id, r := range ans.Records {
			g.adopt(id, r.Record, r.Version)
		}
		mu.Lock()
		defer mu.Unlock()
		members++
		if err == nil && ans.OK {
			votes++
		}
	})
	if votes < majority(members) {
		g.noteLostVote(members, votes)
		return
	}
	g.mu.Lock()
	g.voteLost = false
	renewed := g.renew(&g.state.life.votedAt, began)
	g.mu.Unlock()
	if renewed {
		g.cfg.Changed()
	}
}

// noteLostVote logs the first of several votes without a majority.
func (g *Guard) noteLostVote(members, votes int) {
	g.mu.Lock()
	first := !g.voteLost
	g.voteLost = true
	g.mu.Unlock()
	if first {
		level.Warn(g.cfg.Log).Log("Msg", "permits not renewed: neither the store nor a majority of the VMs answers", "Members", members, "Votes", votes)
	}
}

// callAll is CallOthers for the guard's VMs.
func (g *Guard) callAll(ctx context.Context, timeout time.Duration, fn func(ctx context.Context, vm core.VM)) {
	CallOthers(ctx, g.cfg.Members, g.cfg.Self, timeout, fn)
}

// CallOthers runs fn for all other VMs at the same time, with a limit for each, and waits for the last one.
func CallOthers(ctx context.Context, members Members, self core.VMID, timeout time.Duration, fn func(ctx context.Context, vm core.VM)) {
	var calls sync.WaitGroup
	for _, vm := range members.Alive() {
		if vm.ID == self || vm.Control == "" {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			fn(ctx, vm)
		})
	}
	calls.Wait()
}

package lead

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/permit"
)

const (
	// branchTimeout limits asking the other VMs for the beginnings of terms. It is three round trips between regions, since the
	// group has no primary meanwhile.
	branchTimeout = 75 * time.Millisecond
	// maxTerms is the number of a group's newest terms whose beginnings are kept.
	maxTerms = 16

	branchMethod = "Branch.Begins"
)

// Begins holds the first known entry of each of the newest terms of a group's log, newest first. Values must not be changed.
type Begins []core.Position

// With returns begins that also know of an entry at p, and whether they differ.
func (b Begins) With(p core.Position) (Begins, bool) {
	i, found := slices.BinarySearchFunc(b, p.Term, func(q core.Position, t core.Term) int { return cmp.Compare(t, q.Term) })
	switch {
	case p.IsZero(), i == maxTerms, found && b[i].Offset <= p.Offset:
		return b, false
	case found:
		next := slices.Clone(b)
		next[i] = p
		return next, true
	}
	next := slices.Insert(slices.Clone(b), i, p)
	return next[:min(len(next), maxTerms)], true
}

// CutOff reports whether a log with the end has entries that a promotion has cut off: a later term begins at or before them. Reads
// have run without them since, so that they must not come back.
func (b Begins) CutOff(end core.Position) bool {
	return slices.ContainsFunc(b, func(first core.Position) bool { return end.Term < first.Term && end.Offset >= first.Offset })
}

// BranchesConfig configures Branches.
type BranchesConfig struct {
	Members permit.Members
	Self    core.VMID
	// Call calls a method of another entry VM at its control address.
	Call func(ctx context.Context, address, method string, req, answer any) error
	// Begins returns what this VM knows of the group.
	Begins func(id core.GroupID) Begins
	Log    log.Logger
}

// Branches find out where the newest terms of a group's log begin. Each VM knows the entries that its callers' statements have met;
// the first one of a term is known to the VM whose caller has committed it.
type Branches struct{ cfg BranchesConfig }

// NewBranches returns branches.
func NewBranches(cfg BranchesConfig) *Branches { return &Branches{cfg} }

// Begins returns what all VMs know of the group.
func (b *Branches) Begins(ctx context.Context, id core.GroupID) Begins {
	var mu sync.Mutex
	all := b.cfg.Begins(id)
	silent := 0
	permit.CallOthers(ctx, b.cfg.Members, b.cfg.Self, branchTimeout, func(ctx context.Context, vm core.VM) {
		var ans BranchAnswer
		err := b.cfg.Call(ctx, vm.Control, branchMethod, &BranchRequest{Group: id}, &ans)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			silent++
			return
		}
		for _, p := range ans.Begins {
			all, _ = all.With(p)
		}
	})
	if silent > 0 {
		level.Info(b.cfg.Log).Log("Msg", "VMs don't tell where terms begin", "Group", id, "Silent", silent)
	}
	return all
}

// BranchRequest asks another VM what it knows of a group.
type BranchRequest struct{ Group core.GroupID }

// BranchAnswer holds what the VM knows.
type BranchAnswer struct{ Begins Begins }

// BranchService serves calls of other VMs over RPC.
type BranchService struct{ b *Branches }

// Service returns the RPC service, which must be registered as "Branch".
func (b *Branches) Service() *BranchService { return &BranchService{b} }

// Begins returns what this VM knows.
func (s *BranchService) Begins(req *BranchRequest, out *BranchAnswer) error {
	out.Begins = s.b.cfg.Begins(req.Group)
	return nil
}

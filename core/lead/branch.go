package lead

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// beginsTimeout limits reading the record of the beginnings, and recordTimeout collecting and writing it.
	beginsTimeout = 300 * time.Millisecond
	recordTimeout = 2 * time.Second
	// recordDelay is the time after a promotion in which the first commit of its term is made.
	recordDelay = time.Second
	// maxTerms is the number of a group's newest terms whose beginnings are kept.
	maxTerms = 16

	branchMethod = "Branch.Begins"
	// branchPrefix is the prefix of the records' keys; the group's id follows.
	branchPrefix = "snipewall/begins/"
)

// Begins holds the first known entry of each of the newest terms of a group's log, newest first. Values must not be changed.
type Begins []core.Position

// merge returns begins that know what both do.
func (b Begins) merge(other Begins) Begins {
	for _, p := range other {
		b, _ = b.With(p)
	}
	return b
}

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

// Follow reports whether a term after that of the position is known, so that entries after it may have been cut off.
func (b Begins) Follow(p core.Position) bool { return len(b) > 0 && p.Term < b[0].Term }

// BranchesConfig configures Branches.
type BranchesConfig struct {
	Members permit.Members
	Self    core.VMID
	// Call calls a method of another entry VM at its control address.
	Call func(ctx context.Context, address, method string, req, answer any) error
	// Begins returns what this VM knows of the group.
	Begins func(id core.GroupID) Begins
	Store  core.Store
	Log    log.Logger
}

// Branches find out where the newest terms of a group's log begin. Each VM knows the entries that its callers' statements have met;
// the first one of a term is known to the VM whose caller has committed it. After a promotion the VM that has asked for it writes
// what all know to the store, so that it outlives them.
type Branches struct{ cfg BranchesConfig }

// NewBranches returns branches.
func NewBranches(cfg BranchesConfig) *Branches { return &Branches{cfg} }

// Begins returns what all VMs and the store know of the group.
func (b *Branches) Begins(ctx context.Context, id core.GroupID) Begins {
	var recorded Begins
	var reading sync.WaitGroup
	reading.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, beginsTimeout)
		defer cancel()
		var err error
		if recorded, _, err = b.read(ctx, id); err != nil {
			level.Info(b.cfg.Log).Log("Msg", "record of beginnings not read", "Group", id, "Err", err)
		}
	})
	told := b.ask(ctx, id)
	reading.Wait()
	return told.merge(recorded)
}

// read returns the record of the group and its version, 0 if there is none.
func (b *Branches) read(ctx context.Context, id core.GroupID) (Begins, core.Version, error) {
	e, err := b.cfg.Store.Get(ctx, branchPrefix+string(id))
	if errors.Is(err, core.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var raw, out Begins
	if err := json.Unmarshal(e.Value, &raw); err != nil {
		return nil, e.Version, err
	}
	return out.merge(raw), e.Version, nil
}

// Record writes to the store what all VMs know of the group, unless it is there already.
func (b *Branches) Record(ctx context.Context, id core.GroupID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	told := b.ask(ctx, id)
	recorded, version, err := b.read(ctx, id)
	if err != nil && version == 0 {
		level.Info(b.cfg.Log).Log("Msg", "record of beginnings not read", "Group", id, "Err", err)
		return
	}
	all := recorded.merge(told)
	if slices.Equal(all, recorded) {
		return
	}
	value, err := json.Marshal(all)
	if err == nil {
		_, err = b.cfg.Store.CompareAndSwap(ctx, branchPrefix+string(id), value, version, "")
	}
	level.Info(b.cfg.Log).Log("Msg", "beginnings of terms recorded", "Group", id, "Begins", fmt.Sprint(all), "Err", err)
}

// ask returns what all VMs know of the group.
func (b *Branches) ask(ctx context.Context, id core.GroupID) Begins {
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
		all = all.merge(ans.Begins)
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

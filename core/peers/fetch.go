package peers

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// maxTableRequests is the number of members that FetchTable tries.
	maxTableRequests = 3
	// rejectedRetryDelay is how long a version that couldn't be adopted isn't fetched again.
	rejectedRetryDelay = time.Minute
)

// fetch starts fetching the table from the member if its version is higher than the one in force. Only one
// fetch runs at a time. A failed fetch is repeated when another ping reports the version.
func (p *Peers) fetch(vm core.VM, version core.Version) {
	if p.cfg.Table == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching || version <= p.have() {
		return
	}
	p.fetching = true
	p.start(func() {
		// The fetch may take longer than the ping that reported the version.
		ctx, cancel := context.WithTimeout(p.runCtx, callTimeout)
		defer cancel()
		p.fetchFrom(ctx, vm)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.fetching = false
	})
}

// have returns the version above which a table is wanted: that in force, or one that couldn't be adopted lately. The
// caller holds mu.
func (p *Peers) have() core.Version {
	v := p.cfg.Table.Version()
	if time.Since(p.rejectedAt) < rejectedRetryDelay {
		v = max(v, p.rejected)
	}
	return v
}

func (p *Peers) fetchFrom(ctx context.Context, vm core.VM) {
	p.stats.fetches.Add(1)
	answer, err := p.cfg.Transport.Table(ctx, vm.Control, &TableRequest{Have: p.cfg.Table.Version()})
	if err == nil {
		p.adopt(vm, answer)
	}
}

// adopt puts the table of another entry VM into force, if there is one in its answer.
func (p *Peers) adopt(vm core.VM, answer *TableAnswer) {
	if len(answer.Data) == 0 {
		return
	}
	_, err := p.cfg.Table.Adopt(answer.Data, "peer "+string(vm.ID))
	if err == nil {
		return
	}
	level.Warn(p.cfg.Logger).Log("Msg", "table of a peer rejected", "VM", vm.ID, "Version", answer.Version, "Err", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejected, p.rejectedAt = answer.Version, time.Now()
}

// Table implements Handler.
func (p *Peers) Table(ctx context.Context, req *TableRequest) (*TableAnswer, error) {
	if p.cfg.Table == nil {
		return &TableAnswer{}, nil
	}
	answer := &TableAnswer{}
	if req.Wait > 0 {
		answer.Confirmation = p.cfg.Table.AwaitConfirmation(ctx, req.Age, req.Wait)
	}
	version, data := p.cfg.Table.Encoded()
	answer.Version = version
	if version > req.Have {
		answer.Data = data
	}
	return answer, nil
}

// AskConfirmation asks the entry VM for a confirmation of its table that is newer than the one of this VM, which has
// the given age, and waits for it for at most wait. It adopts the table if its version is higher.
func (p *Peers) AskConfirmation(ctx context.Context, vm core.VM, age, wait time.Duration) (core.Confirmation, error) {
	p.mu.Lock()
	req := &TableRequest{Have: p.have(), Wait: wait, Age: age}
	p.mu.Unlock()
	answer, err := p.cfg.Transport.Table(ctx, vm.Control, req)
	if err != nil {
		return core.Confirmation{}, core.ErrPeer.Wrap(err)
	}
	p.adopt(vm, answer)
	return answer.Confirmation, nil
}

// FetchTable returns the encoded table of a random member that has one. An entry VM calls it at its start.
func (p *Peers) FetchTable(ctx context.Context) ([]byte, error) {
	err := core.ErrPeer.New("no other entry VM is known")
	for _, vm := range p.randomMembers(maxTableRequests, "") {
		data, fetchErr := p.requestTable(ctx, vm)
		if fetchErr == nil {
			return data, nil
		}
		err = fetchErr
	}
	return nil, err
}

func (p *Peers) requestTable(ctx context.Context, vm core.VM) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := p.cfg.Transport.Table(ctx, vm.Control, &TableRequest{})
	if err != nil {
		return nil, core.ErrPeer.Wrap(err)
	}
	if len(answer.Data) == 0 {
		return nil, core.ErrPeer.New("entry VM %s has no table", vm.ID)
	}
	return answer.Data, nil
}

package peers

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// maxAsked is how many members are asked for the table at the start.
	maxAsked = 3
	// rejectTime is how long a version that could not be adopted isn't fetched again.
	rejectTime = time.Minute
)

// fetch gets the table from the member if its version is higher than the own one. Only one fetch is
// under way; after a failure the next ping shows the version again.
func (p *Peers) fetch(vm core.VM, version core.Version) {
	if p.cfg.Table == nil || version <= p.cfg.Table.Version() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	isRejected := version <= p.rejected && time.Since(p.rejectedAt) < rejectTime
	if p.fetching || isRejected {
		return
	}
	p.fetching = true
	p.start(func() {
		// The fetch outlives the ping that revealed the version.
		ctx, cancel := context.WithTimeout(p.life, callTimeout)
		defer cancel()
		p.fetchFrom(ctx, vm, version)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.fetching = false
	})
}

func (p *Peers) fetchFrom(ctx context.Context, vm core.VM, version core.Version) {
	p.stats.fetches.Add(1)
	answer, err := p.cfg.Transport.Table(ctx, vm.Control, &TableRequest{Have: p.cfg.Table.Version()})
	if err != nil || len(answer.Data) == 0 {
		return
	}
	_, err = p.cfg.Table.Adopt(answer.Data, "peer "+string(vm.ID))
	if err == nil {
		return
	}
	level.Warn(p.cfg.Logger).Log("Msg", "table of a peer is not accepted", "VM", vm.ID, "Version", version, "Err", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejected, p.rejectedAt = version, time.Now()
}

// Table implements Handler.
func (p *Peers) Table(_ context.Context, req *TableRequest) (*TableAnswer, error) {
	if p.cfg.Table == nil {
		return &TableAnswer{}, nil
	}
	version, data := p.cfg.Table.Encoded()
	if version <= req.Have {
		return &TableAnswer{Version: version}, nil
	}
	return &TableAnswer{Version: version, Data: data}, nil
}

// FetchTable returns the table of a member that has one, for an entry VM that starts.
func (p *Peers) FetchTable(ctx context.Context) ([]byte, error) {
	err := core.ErrPeer.New("no other entry VM is known")
	for _, vm := range p.sample(maxAsked, "") {
		data, askErr := p.askOne(ctx, vm)
		if askErr == nil {
			return data, nil
		}
		err = askErr
	}
	return nil, err
}

func (p *Peers) askOne(ctx context.Context, vm core.VM) ([]byte, error) {
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

package server

import (
	"github.com/go-kit/log"

	"snipewall/core"
	"snipewall/core/assign"
	"snipewall/core/elect"
	"snipewall/core/owner"
	"snipewall/core/quorum"
	"snipewall/io/dbconn"
)

// openUpstreams builds the adapters. They dial on demand.
func (p *Process) openUpstreams() error {
	s := p.cfg.Settings
	p.upstreams = make(map[core.UpstreamID]core.Upstream, len(s.Upstreams))
	for _, info := range s.Upstreams {
		tlsConfig, err := upstreamTLS(s.UpstreamTLS, info)
		if err != nil {
			return err
		}
		u, err := dbconn.Config{Info: info, TLS: tlsConfig}.New()
		if err != nil {
			return err
		}
		p.upstreams[info.ID] = u
	}
	return nil
}

// newGroup builds the monitor and the failover driver of a group.
func (p *Process) newGroup(id core.GroupID, infos []core.UpstreamInfo) assign.Group {
	s := p.cfg.Settings
	upstreams := make([]core.Upstream, 0, len(infos))
	for _, info := range infos {
		upstreams = append(upstreams, p.upstreams[info.ID])
	}
	monitor := quorum.New(quorum.Config{Group: id, Upstreams: upstreams, PollInterval: s.Failover.PollInterval})
	driver := elect.New(elect.Config{
		Group: id, Self: s.VM.ID, Upstreams: upstreams, View: monitor, Store: p.store, Members: p.members,
		Logger:   log.With(p.cfg.Log, "Service", "elect"),
		Timing:   elect.Timing{SilentAfter: s.Failover.SuspectAfter, RefusedAfter: s.Failover.RefusedAfter},
		OnChange: func(c elect.Change) { p.countChange(id, c) },
	})
	return assign.Group{View: monitor, Services: []core.Service{monitor, driver}}
}

// newOwner builds the owner of an upstream.
func (p *Process) newOwner(info core.UpstreamInfo, view core.GroupView) assign.Owner {
	var group []core.UpstreamInfo
	for _, other := range p.cfg.Settings.Upstreams {
		if other.Group == info.Group {
			group = append(group, other)
		}
	}
	return owner.New(owner.Config{
		Upstream: p.upstreams[info.ID], View: view, Policies: p.table, Group: group,
		Leaving: func() bool { return p.members.IsLeaving(info.ID) },
		Log:     log.With(p.cfg.Log, "Service", "owner"),
		Metrics: p.scope.SubScope("Owner").Tagged(map[string]string{"Upstream": string(info.ID)}),
	})
}

package server

import (
	"context"
	"net"

	"github.com/go-kit/log"

	"snipewall/core/peers"
	"snipewall/io/ctrl"
)

// openMembers builds the membership and the listener for control calls.
func (p *Process) openMembers() error {
	s := p.cfg.Settings
	ln, err := listen("Control", s.Listen.Control)
	if err != nil {
		return err
	}
	p.members, err = peers.New(peers.Config{
		Self: p.self(), Seeds: s.Peers.Seeds, Transport: ctrl.NewClient(ctrl.ClientConfig{}),
		Platform: p.store, Table: p.table, PingInterval: s.Peers.PingInterval, ListInterval: s.Platform.ListInterval,
		Logger: log.With(p.cfg.Log, "Service", "peers"),
	})
	if err != nil {
		return err
	}
	p.table.SetPeers(p.members)
	control := &controlService{server: ctrl.NewServer(ctrl.ServerConfig{Peers: p.members}), listener: ln}
	if err := p.registry.Register(p.members); err != nil {
		return err
	}
	return p.registry.Register(control)
}

// controlService runs the server for control calls as a service.
type controlService struct {
	server   *ctrl.Server
	listener net.Listener
}

// Name implements core.Service.
func (c *controlService) Name() string { return "control" }

// Run implements core.Service.
func (c *controlService) Run(ctx context.Context) error { return c.server.Serve(ctx, c.listener) }

// Package hop carries single-line statements between entry VMs: from the one that took them from a
// caller to the owner of the upstream, which holds the upstream's connections and its queue.
//
// A connection carries one statement or transaction at a time, as encoding/gob frames over TCP.
// net/rpc has neither deadlines nor an order of calls on one connection, which transactions need.
// An owner that stops sends a goodbye and goes on serving; the other side stops using the connection
// as soon as nothing is in progress on it.
//
// # Usage
//
//	srv := hop.NewServer(hop.ServerConfig{Listener: ln, Open: proxy.OpenRelay, Log: logger})
//	go func() { ended <- srv.Run(ctx) }()
//
//	c, err := hop.Dial(ctx, owner.Relay, upstream.ID)
//	err = c.Send(commands)
//	answer, err := c.Receive(deadline)
package hop

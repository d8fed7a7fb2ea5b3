// Package hop forwards single-line statements from the entry VM that received them from a caller to
// the entry VM that owns the upstream. The owner holds the connections to the upstream and the queue
// for it.
//
// A connection carries one statement or transaction at a time, as encoding/gob frames over TCP.
// net/rpc isn't used because transactions need deadlines and ordered calls on one connection, and it
// has neither. An owner that shuts down sends a goodbye and keeps serving; the other side stops using
// the connection as soon as nothing is in progress on it.
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

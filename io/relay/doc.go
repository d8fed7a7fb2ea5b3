// Package relay forwards requests from the entry VM that received them to the entry VM that owns
// the upstream.
//
// A connection carries one request or one transaction at a time, as encoding/gob frames. An answer
// therefore can't reach another request, and closing the connection cancels the request or rolls the
// transaction back. While a request runs, the server sends heartbeats; a client that receives nothing
// for HeartbeatTimeout closes the connection. A connection that was idle for IdleCheckAfter is pinged
// before it carries a request, because a write sent on a dead connection has an unknown outcome.
//
// # Usage
//
// The owner's side serves a listener:
//
//	srv := relay.NewServer(relay.ServerConfig{Listener: ln, Find: find, Log: logger})
//	err := srv.Run(ctx)
//
// The other side gets a core.Executor for an upstream on another entry VM:
//
//	client := relay.NewClient(relay.ClientConfig{})
//	res, err := client.Executor(vm, "berth-1-galveston").Execute(ctx, req, w)
package relay

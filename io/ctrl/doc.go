// Package ctrl makes and serves the control calls between entry VMs. It wraps net/rpc with
// encoding/gob over TCP, so that each call has a deadline and ends with its context, and so that the
// size of messages and the number of connections are limited. Statements don't use it, since net/rpc
// can't stream.
//
// A connection carries one call at a time and is kept for the next one. The number of idle
// connections is limited, so that an entry VM doesn't hold connections to the whole fleet.
//
// # Usage
//
//	server := ctrl.NewServer(ctrl.ServerConfig{Peers: p})
//	go func() { end <- server.Serve(ctx, listener) }()
//
//	client := ctrl.NewClient(ctrl.ClientConfig{})
//	defer client.Close()
//	answer, err := client.Ping(ctx, "10.0.0.7:7001", &peers.PingRequest{})
//
// Other control services register with Server.Register and call with Client.Call.
package ctrl

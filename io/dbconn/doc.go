// Package dbconn connects to upstreams over the PostgreSQL protocol. It implements core.Upstream
// and core.Conn, and it is the only package that knows how an upstream answers control functions,
// reports commit positions and refuses connections.
//
// A connection serves one request at a time and is never used again after a request on it failed,
// timed out or was canceled, so that a late answer can't reach another request.
//
// Statement names in a request depend on the SQL text only. A connection remembers which of them it
// has prepared, adds the Parse messages that it lacks and leaves out those that it doesn't need;
// the answer looks as if it had received the request as it is.
//
// # Usage
//
//	up, err := dbconn.Config{Info: info, User: "app"}.New()
//	if err != nil {
//		return err
//	}
//	defer up.Close()
//	conn, err := up.Dial(ctx)
//	if err != nil {
//		return err
//	}
//	defer conn.Close()
//	res, err := conn.Run(ctx, req, w)
//
// Config.Dial replaces the network, for example by net.Pipe in tests on the clock of
// testing/synctest.
package dbconn

// Package dbconn is the adapter to upstreams over the PostgreSQL protocol. It implements core.Upstream
// and core.Conn. No other package depends on how an upstream answers control functions, reports commit
// positions and refuses connections.
//
// A connection serves one request at a time and is never used again after a request on it failed,
// timed out or was canceled, so that a late answer can't reach another request.
//
// Statement names in a request depend on the SQL text and the parameter types only. A connection keeps
// track of the statements that are prepared on it, adds the Parse messages that are missing and omits
// those that aren't needed. The answer looks as if the request had been sent unchanged.
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

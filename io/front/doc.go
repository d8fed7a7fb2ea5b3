// Package front is the listener for callers. It speaks the PostgreSQL protocol 3, keeps the state
// of each caller's connection, and hands every unit of work to a core.Executor: a simple query, or
// the messages of the extended protocol up to Sync.
//
// The session of a connection holds what a caller expects from a database session, although
// upstream connections are shared: the snipewall parameters, the named prepared statements, the
// confirmed position and the open transaction. Statement names are replaced by names that depend
// on the SQL text and the parameter types only, so that every connection of a pool can serve them.
//
// Errors leave the connection usable wherever the protocol allows it. An error that says "not run"
// comes from a core.Attempt.
//
// # Usage
//
//	srv := front.New(front.Config{Listener: l, Router: r, Policies: p, Groups: g})
//	if err := k.Register(srv); err != nil {
//		return err
//	}
//	// Before the process stops:
//	if err := srv.Drain(ctx); err != nil {
//		return err
//	}
package front

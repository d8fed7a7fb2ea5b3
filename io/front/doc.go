// Package front is the listener for callers. It speaks version 3 of the PostgreSQL protocol, keeps the
// state of each caller's connection, and passes each request to a core.Executor: a simple query, or
// the messages of the extended protocol up to Sync.
//
// Upstream connections are shared, so the session of a caller's connection holds the state that the
// caller expects of a database session: the snipewall parameters, the named prepared statements, the
// confirmed position and the open transaction. Statement names are replaced by names that depend
// on the SQL text and the parameter types only, so that every connection of a pool can serve them.
//
// The listener answers some statements itself: SET, SHOW and RESET of snipewall parameters, SET of
// other parameters to the value that all upstream connections have anyway, DISCARD, empty
// statements, Close, and COMMIT or ROLLBACK without a transaction. It refuses statements that need a
// dedicated database session.
//
// # Errors
//
// Errors leave the connection usable wherever the protocol allows it. Only a core.Attempt creates
// errors that say "not run".
//
// If the listener refuses a statement, no part of its batch of the extended protocol runs, since the
// parts would otherwise take effect without the rest. For the same reason a transaction whose upstream
// was lost stays open for the caller in the failed state, and everything up to its ROLLBACK or COMMIT
// is refused with 25P02: if the caller pipelines, the rest of the transaction would otherwise run
// statement by statement. The same applies to a BEGIN that fails if the caller has already sent more.
//
// If a batch has executed something outside of a transaction before a Flush, the Flush opens a
// transaction that lasts up to Sync. The batch then takes effect as a whole although it is sent in parts.
//
// # Idle connections
//
// An idle connection needs only a goroutine and the session, and holds no buffers. After
// Config.ParkDelay a new goroutine with a small stack replaces its goroutine.
//
// # Usage
//
//	srv := front.New(front.Config{Listener: l, Router: r, Policies: p, Groups: g})
//	if err := registry.Register(srv); err != nil {
//		return err
//	}
//	// Before the process stops:
//	if err := srv.Drain(ctx); err != nil {
//		return err
//	}
package front

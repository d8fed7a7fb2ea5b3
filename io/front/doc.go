// Package front is the listener for callers. It speaks the PostgreSQL protocol 3, keeps the state
// of each caller's connection, and hands every unit of work to a core.Executor: a simple query, or
// the messages of the extended protocol up to Sync.
//
// The session of a connection holds what a caller expects from a database session, although
// upstream connections are shared: the snipewall parameters, the named prepared statements, the
// confirmed position and the open transaction. Statement names are replaced by names that depend
// on the SQL text and the parameter types only, so that every connection of a pool can serve them.
//
// The listener answers some statements itself: SET, SHOW and RESET of snipewall parameters, SET of
// other parameters to the value that all upstream connections have anyway, DISCARD, empty
// statements, Close, and COMMIT or ROLLBACK without a transaction. Statements that need a database
// session of their own are refused.
//
// # Errors
//
// Errors leave the connection usable wherever the protocol allows it. An error that says "not run"
// comes from a core.Attempt.
//
// A batch of the extended protocol that contains a statement which the listener refuses doesn't run
// at all, since its parts would otherwise take effect without the rest. For the same reason a
// transaction whose upstream was lost stays open for the caller in the failed state, and everything
// up to its ROLLBACK or COMMIT is refused with 25P02: a caller that sends ahead would otherwise run
// the rest of the transaction statement by statement. A BEGIN that fails is treated in this way if
// the caller has sent more behind it.
//
// A Flush in a batch that has executed something outside of a transaction opens a transaction up to
// Sync, so that the batch takes effect as a whole although it is sent in parts.
//
// # Idle connections
//
// An idle connection consists of a goroutine and the session, without buffers. After
// Config.ParkDelay the goroutine is replaced by a fresh one, whose stack is small.
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

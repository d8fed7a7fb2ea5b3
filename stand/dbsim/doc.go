// Package dbsim simulates one upstream of a replicated database group. It has a small SQL engine, a log
// with terms and offsets, asynchronous replication, the control functions in the SQL schema snipewall,
// and faults that can be switched on while it runs. It speaks the PostgreSQL protocol.
//
// A Database is the state that a real server keeps on disk: the log, the promised term and the role. A
// Server is the process that serves it. Closing a Server and starting another one with the same Database
// simulates a crash and a restart.
//
// The log is kept in memory only. A process that is restarted has lost its log, and must start as a
// replica that follows no primary: a primary with an empty log would assign positions a second time.
//
// Faults are switched on and off with Server.Fault, SELECT snipewall.fault('NAME', 'VALUE') or the
// admin port; the constants Fault... name them.
//
// # Usage
//
//	db := dbsim.NewPrimary(1)
//	srv := dbsim.Config{Slots: 3, Connections: 20}.New(db)
//	lis, err := net.Listen("tcp", "127.0.0.1:0")
//	if err != nil {
//		return err
//	}
//	return srv.Serve(ctx, lis)
//
// NewReplica(term, address of the primary) creates a replica. Config.Dial replaces the network between
// upstreams, so that a whole group can run in one process on in-memory connections.
package dbsim

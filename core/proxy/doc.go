// Package proxy executes single-line statements of callers on the upstreams of database groups. It
// pools connections per transaction, proves that reads are as fresh as their route requires, and
// reports a statement as not run only if that is certain.
//
// A Session is one caller's connection. It answers BEGIN, ROLLBACK, SET, PREPARE and DEALLOCATE
// itself: a transaction takes an upstream connection only with its first statement, and session
// values and prepared statements are replayed on the connection that runs the next statement.
//
// A strict read runs inside a transaction on the primary, which accepts BEGIN only while it leads.
// Other reads await a position that the primary had while it provably led, see package fresh. Each
// upstream has its own admission queue (package queue) and connection pools (package pool); reads go
// to the upstream with the lowest estimated time to the answer.
//
// # Usage
//
//	p := proxy.New(proxy.Config{Directory: directory, Dialer: dialer, Self: vm, Log: logger, Metrics: scope})
//	go func() { ended <- p.Run(ctx) }()
//
//	s := p.Open("berth-ledger-1")
//	defer s.Close()
//	reply := s.Execute(ctx, &proxy.Statement{ID: "8f", Verb: proxy.VerbRead, Text: "READ 1a4"})
package proxy

// Package proxy serves single-line statements of callers on the upstreams of database groups. It
// pools connections by transaction, proves that reads are as fresh as their route asks for, and
// never claims that a statement didn't run unless that is certain.
//
// A Session is one caller's connection. It answers BEGIN, ROLLBACK, SET, PREPARE and DEALLOCATE
// itself: a transaction takes an upstream connection only with its first statement, and values and
// prepared statements are replayed on the connection that runs the next one.
//
// Strict reads run inside a transaction that the primary opened for them, which it only does while
// it leads. Other reads await a position that a leading primary held, see package fresh. Each upstream
// has its own admission queue (package queue) and connection pool (package pool); choose.go places
// reads by the estimated time to their answer.
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

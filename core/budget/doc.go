// Package budget limits the memory that the connections of a VM hold together.
//
// Each connection has an Account. It states how many bytes it holds: what it has read ahead, a statement and its
// copies, an answer that its peer hasn't read yet, the state of its session. Small amounts are free, so that an ordinary
// request takes no lock; the VM limits the number of connections instead.
//
// When the budget is spent, the largest holder that waits for its peer is closed, if it holds more than the account that
// asks. The others get their memory back as soon as what they wait for has happened, so that they are not closed. An
// account that gets nothing within the waiting time is refused.
//
// Weighed: a limit for each connection, which many connections together still exceed; refusing newcomers only, so that
// those who hold the memory keep it; the memory limit of the runtime, which spends the processor on collections and
// refuses nothing.
//
// # Usage
//
//	b := budget.New(budget.Config{Limit: 64 << 20, Wait: 300 * time.Millisecond})
//	a := b.Open(func() { _ = conn.Close() })
//	defer a.Close()
//	if !a.Hold(ctx, size) {
//		// Refuse the request.
//	}
//	a.Await(func() { n, err = conn.Read(buf) })
package budget

// Package pool is a connection pool with a limit. It keeps a minimum number of idle connections open
// in the background, so that requests rarely wait for a dial.
//
// A failed connection is discarded and never handed out again. Idle connections are checked by a
// heartbeat and closed after the idle timeout. After a failed dial, further dials wait with
// exponential backoff, and requests fail immediately with the dial's error unless another connection
// may still become free.
//
// # Usage
//
//	p := pool.New(pool.Config[core.Conn]{
//		Limit:   20,
//		MinIdle: 4,
//		Dial:    func(ctx context.Context, label string) (core.Conn, error) { return upstream.Dial(ctx) },
//		Ping:    func(ctx context.Context, c core.Conn) error { return c.Ping(ctx) },
//		Close:   func(c core.Conn) error { return c.Close() },
//	})
//	go func() { ended <- p.Run(ctx) }()
//
//	h, err := p.Get(ctx)
//	if err != nil {
//		return err
//	}
//	if err := use(h.Value); err != nil {
//		h.Discard()
//		return err
//	}
//	h.Put()
package pool

// Package pool is a pool of connections with a limit. A reserve of idle connections is dialed in
// the background, so that the time to open a connection stays off the path of a request.
//
// A connection that failed is discarded and never handed out again. Connections that stay idle are
// checked by a heartbeat and closed when they exceed the idle time. When the other side refuses
// connections, further dials wait with exponential backoff, and requests fail at once with the
// refusal unless a connection in use may come back.
//
// # Usage
//
//	p := pool.New(pool.Config[core.Conn]{
//		Limit: 20,
//		Warm:  4,
//		Dial:  upstream.Dial,
//		Ping:  func(ctx context.Context, c core.Conn) error { return c.Ping(ctx) },
//		Close: func(c core.Conn) error { return c.Close() },
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

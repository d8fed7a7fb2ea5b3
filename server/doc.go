// Package server assembles an entry VM from its settings. It registers all services in one
// core.Registry, runs them, and shuts them down without interrupting requests in flight.
//
// # Usage
//
//	p, err := server.New(server.Config{Settings: settings, Log: logger})
//	if err != nil {
//		return err
//	}
//	return p.Run(ctx)
package server

// Package server builds the process of an entry VM from its settings: it registers all services in
// one kernel, runs them, and stops them in an order that cuts no request in flight.
//
// # Usage
//
//	p, err := server.New(server.Config{Settings: settings, Log: logger})
//	if err != nil {
//		return err
//	}
//	return p.Run(ctx)
package server

//go:build review

// The program runs the scripts of this review: each starts a small deployment on loopback addresses with stand-ins of
// the platform, the backends and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

var scripts = map[string]func(dir string, trouble bool) int{}

func main() {
	if len(os.Args) < 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 SCRIPT FOLDER")
		os.Exit(failed)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	os.Exit(scripts[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}

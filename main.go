// Command snipewall is a PostgreSQL proxy with session consistency.
package main

import (
	"os"

	"snipewall/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args))
}

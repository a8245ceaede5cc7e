// Curlewsilld is the daemon of an entry host.
package main

import (
	"os"

	"curlewsill.org/curlewsill/cmd/curlewsilld/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }

// Curlewsill is the operators' command-line tool.
package main

import (
	"os"

	"curlewsill.org/curlewsill/cmd/curlewsill/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

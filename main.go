// Command tamarackcross is a database proxy with session consistency.
package main

import (
	"os"

	"tamarackcross/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}

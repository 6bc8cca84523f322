package cmds

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Version is the version of the binary.
const Version = "0.1.0-dev"

type versionCommand struct{}

func (*versionCommand) name() string { return "version" }

func (*versionCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "print the version"
}

func (*versionCommand) run(stdout, _ io.Writer) int {
	fmt.Fprintln(stdout, "tamarackcross", Version)
	return ExitOK
}

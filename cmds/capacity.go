package cmds

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"tamarackcross/capac"
)

type capacityCommand struct{}

func (*capacityCommand) name() string { return "capacity" }

func (*capacityCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "print the tables of docs/CAPACITY.md"
}

func (*capacityCommand) run(stdout, _ io.Writer) int {
	fmt.Fprintf(stdout, "%s\n%s", capac.SlopeTable(), capac.Table(capac.Today, capac.TwoYears))
	return ExitOK
}

// Package cmds implements the subcommands of the binary, one in each file.
package cmds

import (
	"fmt"
	"io"
	"slices"

	"github.com/integrii/flaggy"
)

// Exit codes of the binary.
const (
	ExitOK        = 0 // success
	ExitFailed    = 1 // the command ran and failed
	ExitUsage     = 2 // the command line or a setting is invalid
	ExitViolation = 3 // a check found a violated guarantee
	ExitDamaged   = 4 // the data directory is damaged
	// ExitUnreachable means that an instance that the command needs cannot be reached.
	ExitUnreachable = 5
)

// command is a subcommand. register adds its description and flags; run executes
// it and returns the exit code.
type command interface {
	name() string
	register(sub *flaggy.Subcommand)
	run(stdout, stderr io.Writer) int
}

func commands() []command {
	return []command{
		&entryCommand{},
		&controlCommand{},
		&backendCommand{},
		&fleetCommand{},
		&verifierCommand{},
		&measureCommand{},
		&devCommand{},
		&capacityCommand{},
		&hostedCommand{},
		&configCommand{},
		&traceCommand{},
		&versionCommand{},
	}
}

// Run parses args, runs the subcommand that they name and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	p := flaggy.NewParser("tamarackcross")
	p.Description = "database proxy with session consistency"
	p.ShowVersionWithVersionFlag = false
	all := commands()
	for _, c := range all {
		sub := flaggy.NewSubcommand(c.name())
		c.register(sub)
		p.AttachSubcommand(sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	i := slices.IndexFunc(p.Subcommands, func(s *flaggy.Subcommand) bool { return s.Used })
	if i < 0 {
		p.ShowHelp()
		return ExitUsage
	}
	return all[i].run(stdout, stderr)
}

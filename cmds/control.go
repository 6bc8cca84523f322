package cmds

import (
	"io"

	"github.com/integrii/flaggy"
)

type controlCommand struct{ s instanceSettings }

func (*controlCommand) name() string { return "control" }

func (c *controlCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run the control role without serving callers"
	c.s.addCommon()
	c.s.set.Required(&c.s.dataDir, "data-dir", "data directory")
	c.s.set.Register(sub)
}

func (c *controlCommand) run(_, stderr io.Writer) int { return c.s.runInstance(stderr) }

package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"tamarackcross/flags"
	"tamarackcross/meas"
)

// measureCommand runs the experiments.
type measureCommand struct {
	set    flags.Set
	site   string
	losses int
	kinds  []string
	level  string
	subs   []*measurement
}

// measurement is one experiment.
type measurement struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, stdout, stderr io.Writer) error
}

func (*measureCommand) name() string { return "measure" }

func (c *measureCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run an experiment and print its results as JSON lines"
	c.set.Choice(&c.site, "site", "all", "deployment to imitate", "all", "exchange", "rails")
	c.set.Int(&c.losses, "losses", 21, 1, 1000, "losses of a primary of each kind")
	c.set.List(&c.kinds, "kinds", "killed,cut,frozen", "kinds of loss")
	c.set.Choice(&c.level, "log-level", "error", "least severe level to log on stderr", "debug", "info", "warn", "error")
	c.experiment(sub, "failover", "gap in writes when a primary is lost", c.failover)
}

func (c *measureCommand) experiment(parent *flaggy.Subcommand, name, help string, run func(context.Context, io.Writer, io.Writer) error) {
	sub := flaggy.NewSubcommand(name)
	sub.Description = help
	c.set.Register(sub)
	parent.AttachSubcommand(sub, 1)
	c.subs = append(c.subs, &measurement{sub: sub, run: run})
}

func (c *measureCommand) run(stdout, stderr io.Writer) int {
	if err := c.set.Finish(os.Getenv); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, m := range c.subs {
		if !m.sub.Used {
			continue
		}
		if err := m.run(ctx, stdout, stderr); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailed
		}
		return ExitOK
	}
	fmt.Fprintln(stderr, "measure needs an experiment; see --help")
	return ExitUsage
}

// profiles returns the deployments that --site selects.
func (c *measureCommand) profiles() []meas.Profile {
	if c.site == "all" {
		return meas.Profiles
	}
	for _, p := range meas.Profiles {
		if p.Name == c.site {
			return []meas.Profile{p}
		}
	}
	return nil
}

func (c *measureCommand) failover(ctx context.Context, stdout, stderr io.Writer) error {
	o := meas.FailoverOptions{Losses: c.losses, Log: newLog(stderr, c.level)}
	for _, k := range c.kinds {
		o.Kinds = append(o.Kinds, meas.Loss(k))
	}
	for _, p := range c.profiles() {
		if err := meas.Failover(ctx, stdout, p, o); err != nil {
			return err
		}
	}
	return nil
}

package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

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
	seed   int
	length time.Duration
	quick  bool
	pprof  string
	report string
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
	c.set.Int(&c.seed, "seed", 1, 0, 1<<30, "seed of the random choices")
	c.set.Duration(&c.length, "duration", 0, 0, time.Minute, "length of the main part; 0s means that of the experiment")
	c.set.Bool(&c.quick, "quick", false, "short run that only shows that the experiment works")
	c.set.String(&c.report, "report", "", "folder for a page with plots of the results")
	c.set.String(&c.pprof, "cpu-profile", "", "file for a CPU profile of the process")
	c.experiment(sub, "failover", "gap in writes when a primary is lost", c.failover)
	c.experiment(sub, "overhead", "cost of a read through the proxy and of an idle caller", c.overhead)
	c.experiment(sub, "crest", "service while the demand swings to ten times the capacity", c.crest)
	c.experiment(sub, "replicas", "share and age of reads from replicas while the lag swings", c.replicas)
	c.experiment(sub, "shortwork", "delay of short work beside long work", c.shortwork)
}

func (c *measureCommand) experiment(parent *flaggy.Subcommand, name, help string, run func(context.Context, io.Writer, io.Writer) error) {
	sub := flaggy.NewSubcommand(name)
	sub.Description = help
	c.set.Register(sub)
	parent.AttachSubcommand(sub, 1)
	c.subs = append(c.subs, &measurement{sub: sub, run: run})
}

func (c *measureCommand) run(stdout, stderr io.Writer) int {
	if err := c.set.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, m := range c.subs {
		if !m.sub.Used {
			continue
		}
		if err := c.profiled(ctx, m, stdout, stderr); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailed
		}
		return ExitOK
	}
	fmt.Fprintln(stderr, "measure needs an experiment; see --help")
	return ExitUsage
}

// profiled runs a measurement, with a CPU profile if one was asked for.
func (c *measureCommand) profiled(ctx context.Context, m *measurement, stdout, stderr io.Writer) error {
	if c.pprof == "" {
		return m.run(ctx, stdout, stderr)
	}
	f, err := os.Create(c.pprof)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return m.run(ctx, stdout, stderr)
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

func (c *measureCommand) options(stderr io.Writer) meas.Options {
	return meas.Options{
		Seed: uint64(c.seed), Duration: c.length, Quick: c.quick,
		Log: newLog(stderr, c.level),
	}
}

func (c *measureCommand) overhead(ctx context.Context, stdout, stderr io.Writer) error {
	out := meas.NewOutput(stdout)
	if err := meas.Overhead(ctx, out, c.options(stderr)); err != nil {
		return err
	}
	return c.writeReport(out, "overhead")
}

func (c *measureCommand) crest(ctx context.Context, stdout, stderr io.Writer) error {
	return c.eachSite(ctx, "crest", stdout, stderr, meas.Crest)
}

func (c *measureCommand) replicas(ctx context.Context, stdout, stderr io.Writer) error {
	return c.eachSite(ctx, "replicas", stdout, stderr, meas.Replicas)
}

func (c *measureCommand) shortwork(ctx context.Context, stdout, stderr io.Writer) error {
	return c.eachSite(ctx, "shortwork", stdout, stderr, meas.ShortWork)
}

// eachSite runs an experiment for each selected deployment.
func (c *measureCommand) eachSite(ctx context.Context, name string, stdout, stderr io.Writer,
	run func(context.Context, *meas.Output, meas.Profile, meas.Options) error,
) error {
	out := meas.NewOutput(stdout)
	for _, p := range c.profiles() {
		if err := run(ctx, out, p, c.options(stderr)); err != nil {
			return err
		}
	}
	return c.writeReport(out, name)
}

// writeReport writes the page of an experiment if one was asked for.
func (c *measureCommand) writeReport(out *meas.Output, name string) error {
	if c.report == "" {
		return nil
	}
	return out.WriteReport(c.report, name)
}

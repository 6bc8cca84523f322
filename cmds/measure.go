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

// measureCommand runs one of the experiments of package meas.
type measureCommand struct {
	set         flags.Set
	site        string
	losses      int
	kinds       []string
	logLevel    string
	seed        int
	duration    time.Duration
	quick       bool
	cpuProfile  string
	report      string
	experiments []*experiment
}

// experiment is a subcommand of measure.
type experiment struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, stdout, stderr io.Writer) error
}

func (*measureCommand) name() string { return "measure" }

func (c *measureCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run an experiment and print its results as JSON lines"
	c.set.Choice(&c.site, "site", "all", "deployment to emulate", "all", "exchange", "rails")
	c.set.Int(&c.losses, "losses", 21, 1, 1000, "number of losses of the primary for each kind")
	c.set.List(&c.kinds, "kinds", "killed,cut,frozen", "kinds of loss of the primary")
	c.set.Choice(&c.logLevel, "log-level", "error", "least severe level to log on stderr", "debug", "info", "warn", "error")
	c.set.Int(&c.seed, "seed", 1, 0, 1<<30, "seed of the random number generators")
	c.set.Duration(&c.duration, "duration", 0, 0, time.Minute, "duration of the main phase; 0s selects the default of the experiment")
	c.set.Bool(&c.quick, "quick", false, "short run that only checks that the experiment works")
	c.set.String(&c.report, "report", "", "directory for an HTML page with plots of the results")
	c.set.String(&c.cpuProfile, "cpu-profile", "", "file for a CPU profile of the process")
	c.addExperiment(sub, "failover", "interruption of writes when the primary is lost", c.failover)
	c.addExperiment(sub, "overhead", "cost of a read through the proxy and of an idle caller connection", c.overhead)
	c.addExperiment(sub, "crest", "goodput and latency while the load swings up to ten times the capacity", c.crest)
	c.addExperiment(sub, "replicas", "share and age of reads from replicas while the replication lag varies", c.replicas)
	c.addExperiment(sub, "shortwork", "latency of short requests beside long requests", c.shortwork)
}

func (c *measureCommand) addExperiment(parent *flaggy.Subcommand, name, help string, run func(context.Context, io.Writer, io.Writer) error) {
	sub := flaggy.NewSubcommand(name)
	sub.Description = help
	c.set.Register(sub)
	parent.AttachSubcommand(sub, 1)
	c.experiments = append(c.experiments, &experiment{sub: sub, run: run})
}

func (c *measureCommand) run(stdout, stderr io.Writer) int {
	if err := c.set.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, e := range c.experiments {
		if !e.sub.Used {
			continue
		}
		if err := c.runProfiled(ctx, e, stdout, stderr); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailed
		}
		return ExitOK
	}
	fmt.Fprintln(stderr, "measure needs the name of an experiment; see --help")
	return ExitUsage
}

// runProfiled runs an experiment and writes a CPU profile if --cpu-profile is set.
func (c *measureCommand) runProfiled(ctx context.Context, e *experiment, stdout, stderr io.Writer) error {
	if c.cpuProfile == "" {
		return e.run(ctx, stdout, stderr)
	}
	f, err := os.Create(c.cpuProfile)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return e.run(ctx, stdout, stderr)
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
	o := meas.FailoverOptions{Losses: c.losses, Log: newLog(stderr, c.logLevel)}
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
		Seed: uint64(c.seed), Duration: c.duration, Quick: c.quick,
		Log: newLog(stderr, c.logLevel),
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

// eachSite runs an experiment for each deployment that --site selects.
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

// writeReport writes the page with plots of an experiment if --report is set.
func (c *measureCommand) writeReport(out *meas.Output, name string) error {
	if c.report == "" {
		return nil
	}
	return out.WriteReport(c.report, name)
}

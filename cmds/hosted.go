package cmds

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"tamarackcross/clock"
	"tamarackcross/event"
	"tamarackcross/flags"
	"tamarackcross/host"
	"tamarackcross/mesh"
	"tamarackcross/platform"
	"tamarackcross/stats"
)

const (
	// memoryPart of the limit of the machine is the soft limit of the runtime.
	memoryPart   = 0.7
	minLogBudget = 256     // bytes a second: one line
	maxLogBudget = 1 << 20 // bytes a second
	maxPort      = 65535
	// settingsInterval is between looks at the settings file, which may change
	// without a signal.
	settingsInterval = 2 * time.Second
	// lineUser is who connects to backend servers.
	lineUser = "tamarackcross"

	roleEntry   = "entry"
	roleControl = "control"
)

// hostedCommand runs one role under the settings file of the platform.
type hostedCommand struct {
	set         flags.Set
	role        string
	logLevel    string
	logBudget   int
	metricsPort int
}

func (*hostedCommand) name() string { return "hosted" }

func (c *hostedCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run a role on the users' platform, with the settings file that it provides"
	c.set.Choice(&c.role, "role", "", "role to run", roleEntry, roleControl)
	c.set.Choice(&c.logLevel, "log-level", "info", "least severe level to log", "debug", "info", "warn", "error")
	c.set.Int(&c.logBudget, "log-budget", event.DefaultBudget, minLogBudget, maxLogBudget, "bytes a second for lines of requests without trouble")
	c.set.Int(&c.metricsPort, "metrics-port", 0, 0, maxPort, "port for metrics at /metrics; 0 for none")
	c.set.Register(sub)
}

func (c *hostedCommand) run(stdout, stderr io.Writer) int {
	if err := c.set.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	path, err := platform.SettingsPath()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryPart * (1 << 20)))
	}
	log, err := c.hostedLog(stdout, s)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	defer log.Close()
	st := stats.New(map[string]string{"node": s.Name, "zone": s.Zone})
	if err := c.serveMetrics(s, st, log); err != nil {
		log.Error().Err(err).Msg("metrics cannot be served")
		return ExitFailed
	}
	log.Info().Str("role", c.role).Bool("form", s.Form).Strs("seeds", s.Seeds).Msg("started")
	role, err := c.start(s, st, log)
	if err != nil {
		log.Error().Err(err).Msg("role cannot start")
		return exitOf(err)
	}
	return supervise(role, path, log)
}

// hostedLog writes JSON lines within a budget and never delays a request.
func (c *hostedCommand) hostedLog(w io.Writer, s host.Settings) (*event.Log, error) {
	level, err := zerolog.ParseLevel(c.logLevel)
	if err != nil {
		return nil, err
	}
	zerolog.TimeFieldFormat = timeFormat
	log := event.New(w, level, c.logBudget, clock.Now)
	return log.With(func(f zerolog.Context) zerolog.Context {
		return f.Str(event.Instance, s.Name).Str(event.Zone, s.Zone)
	}), nil
}

// timeFormat shows milliseconds, which order the lines of one instance.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// hostedRole is a running role.
type hostedRole interface {
	Ended() <-chan error
	Reload(host.Settings)
	Shutdown()
}

// serveMetrics serves the metrics on the address of the instance.
func (c *hostedCommand) serveMetrics(s host.Settings, st *stats.Registry, log *event.Log) error {
	if c.metricsPort == 0 {
		return nil
	}
	ip, _, err := net.SplitHostPort(s.Peer)
	if err != nil {
		return err
	}
	l, err := mesh.Listen(context.Background(), net.JoinHostPort(ip, strconv.Itoa(c.metricsPort)))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		if err := st.WriteText(w); err != nil {
			log.Debug().Err(err).Msg("metrics were not taken")
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsLimit, IdleTimeout: metricsIdle}
	go func() { log.Warn().Err(server.Serve(l)).Msg("metrics ended") }()
	return nil
}

const (
	metricsLimit = 3 * time.Second
	metricsIdle  = 30 * time.Second
)

func (c *hostedCommand) start(s host.Settings, st *stats.Registry, log *event.Log) (hostedRole, error) {
	seed := rand.Uint64()
	dialer := platform.Dialer{User: lineUser}
	if c.role == roleEntry {
		return host.StartEntry(s, host.EntryParts{
			Dialer: dialer, Open: platform.NewCaller, Ready: platform.ReadyHandler, Decode: platform.DecodeConfig,
			Now: clock.Now, Log: log, Stats: st, Seed: seed,
		})
	}
	parts := host.ControlParts{
		Handler: func(h host.Control) http.Handler { return platform.ControlHandler(h, log) },
		Decode:  platform.DecodeConfig, Members: platform.MemberCalls{Dialer: dialer}, Dialer: dialer,
		Now: clock.Now, Log: log, Stats: st, Seed: seed,
	}
	if s.Duty != "" {
		parts.Promoter = platform.NewDuties(s.Duty)
	}
	return host.StartControl(s, parts)
}

// supervise runs the role until a signal or a failure.
func supervise(role hostedRole, path string, log *event.Log) int {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	var seen time.Time
	for {
		select {
		case err := <-role.Ended():
			log.Error().Err(err).Msg("role ended")
			return exitOf(err)
		case sig := <-term:
			log.Info().Str("signal", sig.String()).Msg("stopping")
			role.Shutdown()
			log.Info().Msg("stopped")
			return ExitOK
		case <-hup:
			seen = reload(role, path, time.Time{}, log)
		case <-t.C:
			seen = reload(role, path, seen, log)
		}
	}
}

// reload takes in the settings file if it is newer than seen.
func reload(role hostedRole, path string, seen time.Time, log *event.Log) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		log.Warn().Err(err).Msg("settings file cannot be read")
		return seen
	}
	if info.ModTime().Equal(seen) {
		return seen
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		log.Warn().Err(err).Msg("settings file is not taken in")
		return seen
	}
	role.Reload(s)
	log.Info().Strs("seeds", s.Seeds).Msg("settings taken in")
	return info.ModTime()
}

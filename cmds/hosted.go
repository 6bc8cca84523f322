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
	// memoryLimitRatio is the ratio of the soft memory limit of the Go runtime to
	// the memory of the machine.
	memoryLimitRatio = 0.7
	minLogBudget     = 256     // bytes per second; one line
	maxLogBudget     = 1 << 20 // bytes per second
	maxPort          = 65535
	// settingsCheckInterval is the time between checks of the settings file, which
	// may change without a signal.
	settingsCheckInterval = 2 * time.Second
	roleEntry             = "entry"
	roleControl           = "control"
)

// hostedCommand runs one role with the settings file that the platform provides.
type hostedCommand struct {
	set         flags.Set
	role        string
	logLevel    string
	logBudget   int
	metricsPort int
}

func (*hostedCommand) name() string { return "hosted" }

func (c *hostedCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run one role on the hosting platform with the settings file that it provides"
	c.set.Choice(&c.role, "role", "", "role to run", roleEntry, roleControl)
	c.set.Choice(&c.logLevel, "log-level", "info", "least severe level to log", "debug", "info", "warn", "error")
	c.set.Int(&c.logBudget, "log-budget", event.DefaultBytesPerSecond, minLogBudget, maxLogBudget, "bytes per second for log lines of requests that neither failed nor were retried; beyond it they are sampled")
	c.set.Int(&c.metricsPort, "metrics-port", 0, 0, maxPort, "port that serves /metrics; 0 disables it")
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
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitRatio * (1 << 20)))
	}
	log, err := c.newHostedLog(stdout, s)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	defer log.Close()
	st := stats.New(map[string]string{"node": s.Name, "zone": s.Zone})
	if err := c.serveMetrics(s, st, log); err != nil {
		log.Error().Err(err).Msg("metrics cannot be served; the process exits")
		return ExitFailed
	}
	log.Info().Str("role", c.role).Bool("form", s.Bootstrap).Strs("seeds", s.Seeds).Msg("started")
	role, err := c.start(s, st, log)
	if err != nil {
		log.Error().Err(err).Msg("the role cannot start; the process exits")
		return exitCode(err)
	}
	return supervise(role, path, log)
}

// newHostedLog returns a log of JSON lines that limits their volume and never
// blocks a request.
func (c *hostedCommand) newHostedLog(w io.Writer, s host.Settings) (*event.Log, error) {
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

// timeFormat has milliseconds, by which the lines of an instance can be sorted.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// hostedRole is a running entry or control role. Ended receives the error that
// ended it.
type hostedRole interface {
	Ended() <-chan error
	Reload(host.Settings)
	Shutdown()
}

// serveMetrics serves the metrics on the IP address of the instance, unless the
// port is 0.
func (c *hostedCommand) serveMetrics(s host.Settings, st *stats.Registry, log *event.Log) error {
	if c.metricsPort == 0 {
		return nil
	}
	ip, _, err := net.SplitHostPort(s.PeerAddr)
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
			log.Debug().Err(err).Msg("metrics response could not be written")
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout, IdleTimeout: metricsIdleTimeout}
	go func() { log.Warn().Err(server.Serve(l)).Msg("metrics server stopped; metrics are no longer served") }()
	return nil
}

const (
	metricsHeaderTimeout = 3 * time.Second
	metricsIdleTimeout   = 30 * time.Second
)

func (c *hostedCommand) start(s host.Settings, st *stats.Registry, log *event.Log) (hostedRole, error) {
	seed := rand.Uint64()
	dialer := platform.Dialer{User: s.Name}
	if c.role == roleEntry {
		return host.StartEntry(s, host.EntryDeps{
			Dialer: dialer, Open: platform.NewCaller, Ready: platform.ReadyHandler, Decode: platform.DecodeConfig,
			Now: clock.Now, Log: log, Stats: st, Seed: seed,
		})
	}
	deps := host.ControlDeps{
		Handler: func(h host.Control) http.Handler { return platform.ControlHandler(h, log) },
		Decode:  platform.DecodeConfig, Members: platform.MemberCalls{Dialer: dialer}, Dialer: dialer,
		Now: clock.Now, Log: log, Stats: st, Seed: seed,
	}
	if s.PromoterAddr != "" {
		deps.Promoter = platform.NewPromotionClient(s.PromoterAddr)
	}
	return host.StartControl(s, deps)
}

// supervise waits until a signal arrives or the role ends by itself, and returns
// the exit code. Meanwhile it reloads the settings file on SIGHUP and whenever the
// file has changed.
func supervise(role hostedRole, path string, log *event.Log) int {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(settingsCheckInterval)
	defer t.Stop()
	var loaded time.Time // modification time of the settings last loaded
	for {
		select {
		case err := <-role.Ended():
			log.Error().Err(err).Msg("role ended by itself; the process exits")
			return exitCode(err)
		case sig := <-term:
			log.Info().Str("signal", sig.String()).Msg("stopping")
			role.Shutdown()
			log.Info().Msg("stopped")
			return ExitOK
		case <-hup:
			loaded = reload(role, path, time.Time{}, log)
		case <-t.C:
			loaded = reload(role, path, loaded, log)
		}
	}
}

// reload applies the settings file if its modification time differs from loaded,
// that of the settings in force. It returns the modification time of the settings
// that are in force afterwards.
func reload(role hostedRole, path string, loaded time.Time, log *event.Log) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		log.Warn().Err(err).Msg("settings file cannot be read; the previous settings stay in force")
		return loaded
	}
	if info.ModTime().Equal(loaded) {
		return loaded
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		log.Warn().Err(err).Msg("settings file cannot be loaded; the previous settings stay in force")
		return loaded
	}
	role.Reload(s)
	log.Info().Strs("seeds", s.Seeds).Msg("settings file loaded")
	return info.ModTime()
}

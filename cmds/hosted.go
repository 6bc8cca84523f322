package cmds

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"tamarackcross/clock"
	"tamarackcross/flags"
	"tamarackcross/host"
	"tamarackcross/platform"
	"tamarackcross/stats"
)

const (
	// memoryPart of the limit of the machine is the soft limit of the runtime.
	memoryPart = 0.7
	// logBuffer is the lines that wait for a slow standard output.
	logBuffer = 2000
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
	set      flags.Set
	role     string
	logLevel string
}

func (*hostedCommand) name() string { return "hosted" }

func (c *hostedCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run a role on the users' platform, with the settings file that it provides"
	c.set.Choice(&c.role, "role", "", "role to run", roleEntry, roleControl)
	c.set.Choice(&c.logLevel, "log-level", "info", "least severe level to log", "debug", "info", "warn", "error")
	c.set.Register(sub)
}

func (c *hostedCommand) run(stdout, stderr io.Writer) int {
	if err := c.set.Finish(os.Getenv); err != nil {
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
	log, closeLog := hostedLog(stdout, c.logLevel, s)
	defer closeLog()
	log.Info().Str("role", c.role).Bool("form", s.Form).Strs("seeds", s.Seeds).Msg("started")
	role, err := c.start(s, log)
	if err != nil {
		log.Error().Err(err).Msg("role cannot start")
		return exitOf(err)
	}
	return supervise(role, path, log)
}

// hostedLog writes JSON lines through a bounded buffer, so that a slow standard
// output delays no request.
func hostedLog(w io.Writer, level string, s host.Settings) (zerolog.Logger, func()) {
	d := diode.NewWriter(w, logBuffer, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":%d}\n", missed)
	})
	log := newLog(d, level).With().Str("instance", s.Name).Str("zone", s.Zone).Logger()
	return log, func() { _ = d.Close() }
}

// hostedRole is a running role.
type hostedRole interface {
	Ended() <-chan error
	Reload(host.Settings)
	Shutdown()
}

func (c *hostedCommand) start(s host.Settings, log zerolog.Logger) (hostedRole, error) {
	st := stats.New(map[string]string{"instance": s.Name, "zone": s.Zone})
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
		Decode:  platform.DecodeConfig, Members: platform.MemberCalls{Dialer: dialer},
		Now: clock.Now, Log: log, Stats: st, Seed: seed,
	}
	if s.Duty != "" {
		parts.Promoter = platform.NewDuties(s.Duty)
	}
	return host.StartControl(s, parts)
}

// supervise runs the role until a signal or a failure.
func supervise(role hostedRole, path string, log zerolog.Logger) int {
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
func reload(role hostedRole, path string, seen time.Time, log zerolog.Logger) time.Time {
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

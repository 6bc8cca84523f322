package cmds

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tamarackcross/authn"
	"tamarackcross/entry"
	"tamarackcross/flags"
	"tamarackcross/inst"
	"tamarackcross/store"
)

// instanceSettings holds the settings of a process with the entry role, the
// control role or both.
type instanceSettings struct {
	set flags.Set

	name, zone                      string
	callerAddr, peerAddr, adminAddr string
	controlAddrs                    []string
	dataDir                         string
	tokenKey, previousTokenKey      string
	callersFile                     string
	tlsCert, tlsKey                 string
	insecure                        bool
	backendUser, backendPassword    string
	controlPassword                 string
	maxCallers                      int
	shutdownLimit                   time.Duration
	logLevel                        string
}

const (
	minTokenKeyBytes     = 32
	maxCallersLimit      = 200_000 // largest value of --max-callers
	defaultMaxCallers    = 20_000
	defaultShutdownLimit = 30 * time.Second
)

// addCommon adds the settings of both roles.
func (s *instanceSettings) addCommon() {
	s.set.Required(&s.name, "name", "name of the instance, unique in the fleet")
	s.set.Required(&s.zone, "zone", "availability zone of the instance")
	s.set.Address(&s.peerAddr, "listen-peer", "127.0.0.1:7400", "address for other instances")
	s.set.Address(&s.adminAddr, "listen-admin", "127.0.0.1:7480", "address for health, metrics, announcements and operators")
	s.set.List(&s.controlAddrs, "control-members", "127.0.0.1:7400", "peer addresses of the control members")
	s.set.String(&s.controlPassword, "control-password", "", "password of the user tamarackcross at backend servers")
	s.set.Duration(&s.shutdownLimit, "shutdown-limit", defaultShutdownLimit, 0, time.Hour, "longest time that a shutdown waits for requests in flight")
	s.set.Choice(&s.logLevel, "log-level", "info", "least severe level to log", "debug", "info", "warn", "error")
}

// addEntryRole adds the settings of the entry role.
func (s *instanceSettings) addEntryRole() {
	s.set.Address(&s.callerAddr, "listen", "127.0.0.1:7432", "address for callers")
	s.set.String(&s.tokenKey, "token-key", "", "key of session tokens, at least 32 bytes in hexadecimal; the same on all instances")
	s.set.String(&s.previousTokenKey, "token-key-previous", "", "previous key of session tokens, accepted during a rotation")
	s.set.String(&s.callersFile, "callers-file", "", "file with the SCRAM verifiers of callers")
	s.set.String(&s.tlsCert, "tls-cert", "", "file with the TLS certificate for connections of callers")
	s.set.String(&s.tlsKey, "tls-key", "", "file with the private key of the TLS certificate")
	s.set.Bool(&s.insecure, "insecure", false, "accept callers without TLS and without a password")
	s.set.String(&s.backendUser, "backend-user", "app", "user for connections to backend servers")
	s.set.String(&s.backendPassword, "backend-password", "", "password for connections to backend servers")
	s.set.Int(&s.maxCallers, "max-callers", defaultMaxCallers, 1, maxCallersLimit, "limit of open caller connections")
}

// config returns the configuration of the instance, or an error for settings that
// are invalid together.
func (s *instanceSettings) config() (inst.Config, error) {
	cfg := inst.Config{
		Name: s.name, Zone: s.zone, CallerAddr: s.callerAddr, PeerAddr: s.peerAddr, AdminAddr: s.adminAddr, ControlAddrs: s.controlAddrs,
		DataDir: s.dataDir, ControlPassword: s.controlPassword, MaxCallers: s.maxCallers, Shutdown: s.shutdownLimit,
		Backend: entry.Credentials{User: s.backendUser, Password: s.backendPassword},
	}
	if s.callerAddr == "" {
		return cfg, nil
	}
	var err error
	if cfg.TokenKey, err = parseTokenKey("token-key", s.tokenKey, true); err != nil {
		return cfg, err
	}
	if cfg.PreviousTokenKey, err = parseTokenKey("token-key-previous", s.previousTokenKey, false); err != nil {
		return cfg, err
	}
	return cfg, s.loadSecurity(&cfg)
}

// loadSecurity loads the TLS certificate and the verifiers of the callers. An
// instance runs without them only with the explicit setting --insecure.
func (s *instanceSettings) loadSecurity(cfg *inst.Config) error {
	if s.insecure {
		return nil
	}
	if s.tlsCert == "" || s.tlsKey == "" || s.callersFile == "" {
		return eris.New("--tls-cert, --tls-key and --callers-file are required without --insecure true")
	}
	conf, err := authn.LoadTLSConfig(s.tlsCert, s.tlsKey)
	if err != nil {
		return err
	}
	callers, err := authn.LoadCallers(s.callersFile)
	if err != nil {
		return err
	}
	cfg.TLS, cfg.Auth = conf, callers
	return nil
}

func parseTokenKey(name, text string, required bool) ([]byte, error) {
	if text == "" && !required {
		return nil, nil
	}
	key, err := hex.DecodeString(text)
	if err != nil || len(key) < minTokenKeyBytes {
		return nil, eris.Errorf("invalid value for --%s (%s): want at least %d bytes in hexadecimal",
			name, flags.EnvName(name), minTokenKeyBytes)
	}
	return key, nil
}

// runInstance runs an instance until a signal arrives or a part of it fails, and
// returns the exit code.
func (s *instanceSettings) runInstance(stderr io.Writer) int {
	if err := s.set.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	cfg, err := s.config()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	log := newLog(stderr, s.logLevel).With().Str("instance", cfg.Name).Str("zone", cfg.Zone).Logger()
	in, err := inst.Start(cfg, inst.WithLog(log))
	if err != nil {
		log.Error().Err(err).Msg("instance cannot start; the process exits")
		return exitCode(err)
	}
	log.Info().Str("callers", in.CallerAddr()).Str("peer", in.PeerAddr()).Str("admin", in.AdminAddr()).Msg("instance started")
	return s.wait(in, log)
}

func (s *instanceSettings) wait(in *inst.Instance, log zerolog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case err := <-in.Failed():
		in.Close()
		return exitCode(err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.shutdownLimit)
	defer cancel()
	cut := in.Shutdown(shutdownCtx)
	log.Info().Int64("requests_cut", cut).Msg("instance stopped")
	return ExitOK
}

func exitCode(err error) int {
	if errors.Is(err, store.ErrDamaged) {
		return ExitDamaged
	}
	return ExitFailed
}

func newLog(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Logger()
}

type entryCommand struct{ s instanceSettings }

func (*entryCommand) name() string { return "entry" }

func (c *entryCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run the entry role, which serves callers; with --data-dir also the control role"
	c.s.addCommon()
	c.s.addEntryRole()
	c.s.set.String(&c.s.dataDir, "data-dir", "", "data directory of the control role; empty runs the entry role alone")
	c.s.set.Register(sub)
}

func (c *entryCommand) run(_, stderr io.Writer) int { return c.s.runInstance(stderr) }

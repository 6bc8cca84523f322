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

// instanceSettings are the settings of a process with the entry or the control
// role.
type instanceSettings struct {
	set flags.Set

	name, zone             string
	callers, peer, admin   string
	control                []string
	dataDir                string
	tokenKey, oldTokenKey  string
	callersFile            string
	tlsCert, tlsKey        string
	insecure               bool
	backendUser, backendPw string
	controlPw              string
	maxCallers             int
	shutdown               time.Duration
	logLevel               string
}

const (
	minTokenKey   = 32 // bytes
	maxCallers    = 200_000
	usualCallers  = 20_000
	usualShutdown = 30 * time.Second
)

func (s *instanceSettings) common() {
	s.set.Required(&s.name, "name", "name of the instance, unique in the fleet")
	s.set.Required(&s.zone, "zone", "availability zone of the instance")
	s.set.Address(&s.peer, "listen-peer", "127.0.0.1:7400", "address for other instances")
	s.set.Address(&s.admin, "listen-admin", "127.0.0.1:7480", "address for health, metrics, announcements and operators")
	s.set.List(&s.control, "control-members", "127.0.0.1:7400", "peer addresses of the control members")
	s.set.String(&s.controlPw, "control-password", "", "password of the role tamarackcross at backend servers")
	s.set.Duration(&s.shutdown, "shutdown-limit", usualShutdown, 0, time.Hour, "longest time for requests in flight at shutdown")
	s.set.Choice(&s.logLevel, "log-level", "info", "least severe level to log", "debug", "info", "warn", "error")
}

func (s *instanceSettings) entryRole() {
	s.set.Address(&s.callers, "listen", "127.0.0.1:7432", "address for callers")
	s.set.String(&s.tokenKey, "token-key", "", "key of session tokens, hexadecimal, at least 32 bytes; the same on all instances")
	s.set.String(&s.oldTokenKey, "token-key-previous", "", "previous key of session tokens, during a rotation")
	s.set.String(&s.callersFile, "callers-file", "", "file with the SCRAM verifiers of callers")
	s.set.String(&s.tlsCert, "tls-cert", "", "certificate file for callers")
	s.set.String(&s.tlsKey, "tls-key", "", "key file of the certificate")
	s.set.Bool(&s.insecure, "insecure", false, "accept callers without TLS and password")
	s.set.String(&s.backendUser, "backend-user", "app", "user at backend servers")
	s.set.String(&s.backendPw, "backend-password", "", "password at backend servers")
	s.set.Int(&s.maxCallers, "max-callers", usualCallers, 1, maxCallers, "open caller connections")
}

// config checks the settings as a whole.
func (s *instanceSettings) config() (inst.Config, error) {
	cfg := inst.Config{
		Name: s.name, Zone: s.zone, Callers: s.callers, Peer: s.peer, Admin: s.admin, Control: s.control,
		DataDir: s.dataDir, ControlPassword: s.controlPw, MaxCallers: s.maxCallers, Shutdown: s.shutdown,
		Backend: entry.Credentials{User: s.backendUser, Password: s.backendPw},
	}
	if s.callers == "" {
		return cfg, nil
	}
	var err error
	if cfg.TokenKey, err = tokenKey("token-key", s.tokenKey, true); err != nil {
		return cfg, err
	}
	if cfg.PreviousTokenKey, err = tokenKey("token-key-previous", s.oldTokenKey, false); err != nil {
		return cfg, err
	}
	return cfg, s.secure(&cfg)
}

// secure reads the certificate and the verifiers. Running without them takes
// the explicit setting --insecure.
func (s *instanceSettings) secure(cfg *inst.Config) error {
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

func tokenKey(name, text string, required bool) ([]byte, error) {
	if text == "" && !required {
		return nil, nil
	}
	key, err := hex.DecodeString(text)
	if err != nil || len(key) < minTokenKey {
		return nil, eris.Errorf("invalid value for --%s (%s): want at least %d bytes in hexadecimal",
			name, flags.EnvName(name), minTokenKey)
	}
	return key, nil
}

// runInstance runs an instance until a signal or a failure.
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
		log.Error().Err(err).Msg("instance cannot start")
		return exitOf(err)
	}
	log.Info().Str("callers", in.Callers()).Str("peer", in.Peer()).Str("admin", in.Admin()).Msg("instance started")
	return s.wait(in, log)
}

func (s *instanceSettings) wait(in *inst.Instance, log zerolog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case err := <-in.Failed():
		in.Close()
		return exitOf(err)
	case <-ctx.Done():
	}
	limit, end := context.WithTimeout(context.Background(), s.shutdown)
	defer end()
	cut := in.Shutdown(limit)
	log.Info().Int64("requests_cut", cut).Msg("instance stopped")
	return ExitOK
}

func exitOf(err error) int {
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
	sub.Description = "serve callers; with --data-dir take part in control as well"
	c.s.common()
	c.s.entryRole()
	c.s.set.String(&c.s.dataDir, "data-dir", "", "data folder of the control role; empty runs the entry role alone")
	c.s.set.Register(sub)
}

func (c *entryCommand) run(_, stderr io.Writer) int { return c.s.runInstance(stderr) }

package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"tamarackcross/emul"
	"tamarackcross/flags"
)

// backendCommand runs one emulated member of a database group.
type backendCommand struct {
	set              flags.Set
	memberName, zone string
	database         string
	listen           string
	announce         []string
	members          int
	slots            int
	connections      int
	connectTime      time.Duration
	serviceTime      time.Duration
	lag              time.Duration
	ttl              time.Duration
	logLevel         string
}

func (*backendCommand) name() string { return "backend" }

func (c *backendCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run an emulated backend server, for tests and measurements"
	c.set.Required(&c.memberName, "name", "name of the backend server")
	c.set.Required(&c.zone, "zone", "availability zone")
	c.set.Required(&c.database, "database", "database that the group of this backend server serves")
	c.set.Address(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	c.set.List(&c.announce, "announce", "", "base URLs of the instances that receive the announcements")
	c.set.Int(&c.members, "members", 3, 1, 7, "number of members in the group")
	c.set.Int(&c.slots, "slots", emul.DefaultSlots, 1, 1000, "limit of statements that execute at the same time")
	c.set.Int(&c.connections, "connections", emul.DefaultConnections, 1, 10000, "limit of open connections")
	c.set.Duration(&c.connectTime, "connect-time", emul.DefaultConnectTime, 0, time.Second, "time to open a connection")
	c.set.Duration(&c.serviceTime, "service-time", 0, 0, time.Second, "time that each statement occupies its slot")
	c.set.Duration(&c.lag, "lag", 0, 0, time.Minute, "time from receiving a change to applying it on a replica")
	c.set.Duration(&c.ttl, "ttl", 2*time.Second, 100*time.Millisecond, time.Hour, "time to live of an announcement")
	c.set.Choice(&c.logLevel, "log-level", "info", "least severe level to log", "debug", "info", "warn", "error")
	c.set.Register(sub)
}

func (c *backendCommand) run(_, stderr io.Writer) int {
	if err := c.set.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	log := newLog(stderr, c.logLevel).With().Str("instance", c.memberName).Str("zone", c.zone).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	m := emul.New(c.memberName, c.database,
		emul.WithMembers(c.members), emul.WithSlots(c.slots), emul.WithConnections(c.connections),
		emul.WithConnectTime(c.connectTime), emul.WithServiceTime(c.serviceTime), emul.WithApplyLag(c.lag))
	srv := emul.NewServer(m, c.zone, c.listen)
	if err := srv.Start(ctx); err != nil {
		log.Error().Err(err).Msg("emulated backend server cannot start; the process exits")
		return ExitFailed
	}
	log.Info().Str("address", srv.Addr()).Msg("emulated backend server started")
	done := make(chan error, 1)
	go func() { done <- emul.NewAnnouncer(srv, c.announce, emul.WithTTL(c.ttl)).Run(ctx) }()
	err := <-done
	<-ctx.Done()
	if stopErr := srv.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		log.Error().Err(err).Msg("emulated backend server stopped with an error")
		return ExitFailed
	}
	return ExitOK
}

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
	"github.com/jackc/pgx/v5"

	"tamarackcross/emul"
	"tamarackcross/site"
)

// devLag is the replication lag of the development site. It is long enough that
// a read from a replica misses the preceding write unless the proxy prevents it.
const devLag = 150 * time.Millisecond

var devPlan = site.Plan{
	Zones:       []string{"zone-a", "zone-b", "zone-c"},
	Databases:   []string{"app"},
	Entries:     3,
	Control:     3,
	Slots:       5,
	Connections: 30,
}

type devCommand struct {
	smoke bool
}

func (*devCommand) name() string { return "dev" }

func (d *devCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "run a small site of instances and emulated backend servers in one process"
	sub.Bool(&d.smoke, "", "smoke", "check that sessions read their own writes, then exit with code 0, or 3 if a read missed a write")
}

func (d *devCommand) run(stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := site.Start(ctx, devPlan, site.WithMember(emul.WithApplyLag(devLag)))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	defer s.Close()
	for i, in := range s.Instances() {
		fmt.Fprintf(stdout, "%s in %s: %s (http://%s)\n", in.Name(), in.Zone(), devURL(s, i), in.AdminAddr())
	}
	if d.smoke {
		return smoke(ctx, s, stdout, stderr)
	}
	<-ctx.Done()
	return ExitOK
}

func devURL(s *site.Site, i int) string {
	return "postgres://app@" + s.Addr(i) + "/app?sslmode=disable"
}

// smokeTimeout is the time limit of the whole check.
const smokeTimeout = 30 * time.Second

// smoke writes through one entry and reads through another with the session token,
// at once and again after the replication lag, when replicas may serve the read.
func smoke(ctx context.Context, s *site.Site, stdout, stderr io.Writer) int {
	ctx, stop := context.WithTimeout(ctx, smokeTimeout)
	defer stop()
	for round := 1; round <= smokeRounds; round++ {
		want := fmt.Sprintf("value-%d", round)
		tok, err := smokeWrite(ctx, devURL(s, 0), round, want)
		if err != nil {
			fmt.Fprintln(stderr, "write:", err)
			return ExitFailed
		}
		got, err := smokeRead(ctx, devURL(s, 1)+"&tamarackcross.token="+tok, round)
		if err != nil {
			fmt.Fprintln(stderr, "read:", err)
			return ExitFailed
		}
		if got != want {
			fmt.Fprintf(stderr, "guarantee violated: wrote %q through %s, read %q through %s\n",
				want, s.Entry(0).Name(), got, s.Entry(1).Name())
			return ExitViolation
		}
		fmt.Fprintf(stdout, "round %d: wrote %q through %s, read it through %s\n",
			round, want, s.Entry(0).Name(), s.Entry(1).Name())
	}
	for _, in := range s.Instances() {
		e := in.Entry()
		n := e.Counts()
		fmt.Fprintf(stdout, "%s served %d writes, %d reads from replicas, %d reads from the primary\n",
			e.Name(), n.Writes, n.ReadsReplica, n.ReadsPrimary)
	}
	fmt.Fprintln(stdout, "every read returned the session's own write")
	return ExitOK
}

const smokeRounds = 5

func smokeWrite(ctx context.Context, url string, round int, value string) (string, error) {
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, "INSERT INTO smoke (k, v) VALUES ($1, $2)", fmt.Sprintf("key-%d", round), value)
	return c.PgConn().ParameterStatus("tamarackcross.token"), err
}

func smokeRead(ctx context.Context, url string, round int) (string, error) {
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close(ctx) }()
	var got string
	sql := "SELECT v FROM smoke WHERE k = $1"
	if err := c.QueryRow(ctx, sql, fmt.Sprintf("key-%d", round)).Scan(&got); err != nil {
		return "", err
	}
	// After the replication lag a replica can serve the read and must return the
	// same value.
	time.Sleep(2 * devLag)
	var again string
	if err := c.QueryRow(ctx, sql, fmt.Sprintf("key-%d", round)).Scan(&again); err != nil {
		return "", err
	}
	if again != got {
		return again, nil
	}
	return got, nil
}

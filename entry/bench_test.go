package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// idleCallers is the number of connections of the goal in the design.
const idleCallers = 10_000

// holdVariable makes the test binary hold idle connections to the addresses that
// it lists. Callers in a process of their own take none of the file descriptors
// and of the memory of the one that is measured.
const holdVariable = "ENTRY_TEST_HOLD"

func TestMain(m *testing.M) {
	addrs := os.Getenv(holdVariable)
	if addrs == "" {
		os.Exit(m.Run())
	}
	if err := holdCallers(strings.Split(addrs, ",")); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

// holdCallers opens the connections, runs a statement on each, prints a line and
// holds them until standard input ends.
func holdCallers(addrs []string) error {
	var held []net.Conn
	for i := range idleCallers {
		nc, err := net.Dial("tcp", addrs[i%len(addrs)])
		if err != nil {
			return err
		}
		held = append(held, nc)
		c := &rawClient{nc: nc, fe: pgproto3.NewFrontend(nc, nc)}
		c.start(map[string]string{"user": "app", "database": "app"})
		c.fe.Send(&pgproto3.Query{String: "SELECT 1"})
		_ = c.fe.Flush()
		if out := c.read(testLimit); !strings.HasSuffix(out, "ReadyForQuery I\n") {
			return fmt.Errorf("caller %d: %s", i, out)
		}
	}
	fmt.Println("ready")
	_, err := io.Copy(io.Discard, os.Stdin)
	runtime.KeepAlive(held)
	return err
}

// BenchmarkIdleCaller measures the heap and the stacks that an entry needs for
// each idle caller connection.
func BenchmarkIdleCaller(b *testing.B) {
	for range b.N {
		s := startSite(b)
		before := settled()
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), holdVariable+"="+strings.Join(s.addrs, ","))
		stdin, err := cmd.StdinPipe()
		if err != nil {
			b.Fatal(err)
		}
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			b.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			b.Fatal(err)
		}
		line, _ := bufio.NewReader(stdout).ReadString('\n')
		after := settled()
		_ = stdin.Close()
		if err := cmd.Wait(); err != nil || line != "ready\n" {
			b.Fatalf("callers: %q %v", line, err)
		}
		perCaller := func(x, y uint64) float64 { return (float64(y) - float64(x)) / idleCallers }
		b.ReportMetric(perCaller(before.HeapInuse, after.HeapInuse), "heap-B/caller")
		b.ReportMetric(perCaller(before.StackInuse, after.StackInuse), "stack-B/caller")
		b.ReportMetric(perCaller(before.HeapInuse+before.StackInuse, after.HeapInuse+after.StackInuse), "B/caller")
	}
}

// settled reads the memory after the pools have given up their buffers, which
// takes two collections.
func settled() (m runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

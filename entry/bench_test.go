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

// idleCallers is the number of idle connections in the memory goal of the design.
const idleCallers = 10_000

// idleCallersEnv is the environment variable that makes the test binary hold idle
// connections to the addresses that it lists. The callers run in a process of their
// own so that they use no file descriptors and memory of the measured process.
const idleCallersEnv = "ENTRY_TEST_HOLD"

func TestMain(m *testing.M) {
	addrs := os.Getenv(idleCallersEnv)
	if addrs == "" {
		os.Exit(m.Run())
	}
	if err := holdIdleCallers(strings.Split(addrs, ",")); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

// holdIdleCallers opens the connections, runs a statement on each, prints "ready" and
// holds them open until standard input is closed.
func holdIdleCallers(addrs []string) error {
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
		if out := c.read(testTimeout); !strings.HasSuffix(out, "ReadyForQuery I\n") {
			return fmt.Errorf("caller %d: %s", i, out)
		}
	}
	fmt.Println("ready")
	_, err := io.Copy(io.Discard, os.Stdin)
	runtime.KeepAlive(held)
	return err
}

// BenchmarkIdleCaller measures the heap and stack memory that two entries in one
// process use per idle caller connection.
func BenchmarkIdleCaller(b *testing.B) {
	for range b.N {
		s := startSite(b)
		before := memoryAfterGC()
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), idleCallersEnv+"="+strings.Join(s.addrs, ","))
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
		after := memoryAfterGC()
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

// memoryAfterGC reads the memory statistics after two garbage collections, which it
// takes until sync.Pool has freed its buffers.
func memoryAfterGC() (m runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

package meas

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tamarackcross/emul"
	"tamarackcross/site"
)

// OverheadResult is the row that compares reads through the proxy with reads sent
// directly to a backend server.
type OverheadResult struct {
	Experiment     string  `json:"experiment"`
	Site           string  `json:"site"`
	Seed           uint64  `json:"seed"`
	Reads          int64   `json:"reads"` // of the latency part, for each of both paths
	DirectP50      float64 `json:"direct_p50_ms"`
	DirectP99      float64 `json:"direct_p99_ms"`
	ProxyP50       float64 `json:"proxy_p50_ms"`
	ProxyP99       float64 `json:"proxy_p99_ms"`
	RatioP50       float64 `json:"ratio_p50"`
	RatioP99       float64 `json:"ratio_p99"`
	AddedP50Micros float64 `json:"added_p50_us"`

	Connections  int     `json:"connections"`
	DirectReads  float64 `json:"direct_reads_per_s"`
	ProxyReads   float64 `json:"proxy_reads_per_s"`
	RatioReads   float64 `json:"ratio_reads"`
	DirectCPU    float64 `json:"direct_cpu_s_per_100k"` // of the process: callers and backend servers
	ProxyCPU     float64 `json:"proxy_cpu_s_per_100k"`  // of the process: callers, proxy and backend servers
	RatioCPU     float64 `json:"ratio_cpu"`
	IdleCPU      float64 `json:"idle_cores"` // CPU time of the process per second without load
	IdleCallers  int     `json:"idle_callers"`
	IdleBytes    float64 `json:"idle_bytes_per_caller"` // heap and stacks after garbage collection
	IdleNote     string  `json:"idle_note,omitempty"`
	FilesAllowed uint64  `json:"files_allowed"`
}

const (
	overheadDatabase = "app"
	overheadTable    = "overhead"
	overheadQuery    = "SELECT v FROM overhead WHERE k = 'key'"
	overheadSlots    = 128 // enough for slots not to limit the throughput
	overheadConns    = 64  // connections of the throughput part
	readsPerBlock    = 200 // on one path before the other path takes over
	overheadTurns    = 3   // of each path in the throughput part
	overheadWarmup   = 500 // reads on each path before the latency part
	overheadIdleTime = 500 * time.Millisecond
)

var overheadPlan = site.Plan{
	Zones:     []string{"zone-a", "zone-b", "zone-c"},
	Databases: []string{overheadDatabase},
	Entries:   1, Control: 1, Slots: overheadSlots, Connections: 2 * overheadSlots,
}

// Overhead measures the latency, CPU time and memory that the proxy adds, on
// loopback without emulated network latency.
func Overhead(ctx context.Context, out *Output, o Options) error {
	s, err := site.Start(ctx, overheadPlan,
		site.WithPlainDial(),
		site.WithMember(emul.WithConnectTime(0)),
		site.WithLog(o.Log))
	if err != nil {
		return err
	}
	defer s.Close()
	e := &overhead{s: s, o: o}
	e.result = OverheadResult{Experiment: "overhead", Site: "loopback", Seed: o.Seed}
	if err := e.run(ctx); err != nil {
		return err
	}
	out.figure(figure{
		title: "Latency of a read", x: "percentile", y: "ms",
		series: []series{{string(Direct), e.direct.curve()}, {string(Proxy), e.proxy.curve()}},
	})
	return out.row(e.result)
}

type overhead struct {
	s             *site.Site
	o             Options
	direct, proxy latencies
	result        OverheadResult
}

func (e *overhead) run(ctx context.Context) error {
	if err := e.prepare(ctx); err != nil {
		return err
	}
	if err := e.latency(ctx); err != nil {
		return err
	}
	if err := e.throughput(ctx); err != nil {
		return err
	}
	e.idleCPU()
	return e.idleMemory(ctx)
}

// connOpener opens a connection on one of the two paths: direct or through the
// proxy.
type connOpener func(ctx context.Context) (*simpleConn, error)

func (e *overhead) openProxied(ctx context.Context) (*simpleConn, error) {
	return openConn(ctx, dialTCP, e.s.Addr(0), overheadDatabase)
}

// openDirect connects to a replica, to which the proxy sends most reads.
func (e *overhead) openDirect(ctx context.Context) (*simpleConn, error) {
	for _, srv := range e.s.Servers(overheadDatabase) {
		if srv.Member().Status().Role == emul.Replica {
			return openConn(ctx, dialTCP, srv.Addr(), overheadDatabase)
		}
	}
	return nil, errNoReplica
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// prepare writes the row that the reads return and waits until all members have
// applied it.
func (e *overhead) prepare(ctx context.Context) error {
	c, err := e.openProxied(ctx)
	if err != nil {
		return err
	}
	defer c.close()
	if err := execOK(c, "INSERT INTO "+overheadTable+" (k, v) VALUES ('key', 'value')"); err != nil {
		return err
	}
	for _, srv := range e.s.Servers(overheadDatabase) {
		if err := awaitRow(ctx, srv.Member(), overheadTable, "key"); err != nil {
			return err
		}
	}
	return nil
}

// latency measures reads on one connection of each path. The paths alternate, so
// that a change in the load of the machine affects both.
func (e *overhead) latency(ctx context.Context) error {
	direct, err := e.openDirect(ctx)
	if err != nil {
		return err
	}
	defer direct.close()
	proxy, err := e.openProxied(ctx)
	if err != nil {
		return err
	}
	defer proxy.close()
	if err := readBlock(direct, overheadWarmup, newLatencies()); err != nil {
		return err
	}
	if err := readBlock(proxy, overheadWarmup, newLatencies()); err != nil {
		return err
	}
	e.direct, e.proxy = newLatencies(), newLatencies()
	end := time.Now().Add(e.o.duration(5*time.Second, 300*time.Millisecond))
	for time.Now().Before(end) && ctx.Err() == nil {
		if err := readBlock(direct, readsPerBlock, e.direct); err != nil {
			return err
		}
		if err := readBlock(proxy, readsPerBlock, e.proxy); err != nil {
			return err
		}
	}
	e.reportLatency()
	return ctx.Err()
}

func readBlock(c *simpleConn, n int, into latencies) error {
	for range n {
		start := time.Now()
		if err := execOK(c, overheadQuery); err != nil {
			return err
		}
		into.add(time.Since(start))
	}
	return nil
}

func (e *overhead) reportLatency() {
	r := &e.result
	r.Reads = e.direct.count()
	r.DirectP50, r.DirectP99 = e.direct.quantile(50), e.direct.quantile(99)
	r.ProxyP50, r.ProxyP99 = e.proxy.quantile(50), e.proxy.quantile(99)
	r.RatioP50 = ratio(r.ProxyP50, r.DirectP50)
	r.RatioP99 = ratio(r.ProxyP99, r.DirectP99)
	r.AddedP50Micros = (r.ProxyP50 - r.DirectP50) * 1000
}

// throughput measures reads on many connections of each path. The paths alternate.
func (e *overhead) throughput(ctx context.Context) error {
	var direct, proxy readRate
	turn := e.o.duration(5*time.Second, 450*time.Millisecond) / overheadTurns
	for range overheadTurns {
		if err := direct.measure(ctx, e.openDirect, turn); err != nil {
			return err
		}
		if err := proxy.measure(ctx, e.openProxied, turn); err != nil {
			return err
		}
	}
	r := &e.result
	r.Connections = overheadConns
	r.DirectReads, r.ProxyReads = direct.perSecond(), proxy.perSecond()
	r.RatioReads = ratio(r.ProxyReads, r.DirectReads)
	r.DirectCPU, r.ProxyCPU = direct.cpuPer100k(), proxy.cpuPer100k()
	r.RatioCPU = ratio(r.ProxyCPU, r.DirectCPU)
	return nil
}

// readRate is a number of reads with the wall time and CPU time that they took.
type readRate struct {
	reads   int64
	elapsed time.Duration
	cpu     time.Duration
}

func (r *readRate) perSecond() float64 { return ratio(float64(r.reads), r.elapsed.Seconds()) }

func (r *readRate) cpuPer100k() float64 { return ratio(r.cpu.Seconds()*100_000, float64(r.reads)) }

// measure reads on overheadConns connections for the duration d. CPU time is that of
// the whole process, which includes the callers and the backend servers.
func (r *readRate) measure(ctx context.Context, open connOpener, d time.Duration) error {
	conns, err := openConns(ctx, open, overheadConns)
	defer closeConns(conns)
	if err != nil {
		return err
	}
	var reads atomic.Int64
	start, cpu := time.Now(), processCPU()
	end := start.Add(d)
	p := pool.New().WithErrors()
	for _, c := range conns {
		p.Go(func() error {
			for time.Now().Before(end) {
				if err := execOK(c, overheadQuery); err != nil {
					return err
				}
				reads.Add(1)
			}
			return nil
		})
	}
	err = p.Wait()
	r.cpu += processCPU() - cpu
	r.elapsed += time.Since(start)
	r.reads += reads.Load()
	return err
}

// openConns opens n connections and reads once on each, so that the proxy opens its
// backend connections before the measurement.
func openConns(ctx context.Context, open connOpener, n int) ([]*simpleConn, error) {
	var conns []*simpleConn
	for range n {
		c, err := open(ctx)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
		if err := execOK(c, overheadQuery); err != nil {
			return conns, err
		}
	}
	return conns, nil
}

func closeConns(conns []*simpleConn) {
	for _, c := range conns {
		c.close()
	}
}

// idleCPU measures the CPU time of the site without load, such as for heartbeats.
func (e *overhead) idleCPU() {
	cpu := processCPU()
	time.Sleep(overheadIdleTime)
	e.result.IdleCPU = (processCPU() - cpu).Seconds() / overheadIdleTime.Seconds()
}

// processCPU returns the user and system CPU time of the process so far.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

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

// OverheadResult compares reads through the proxy with reads sent straight to
// a backend server.
type OverheadResult struct {
	Experiment string  `json:"experiment"`
	Site       string  `json:"site"`
	Seed       uint64  `json:"seed"`
	Reads      int64   `json:"reads"` // of the latency part, each way
	DirectP50  float64 `json:"direct_p50_ms"`
	DirectP99  float64 `json:"direct_p99_ms"`
	ProxyP50   float64 `json:"proxy_p50_ms"`
	ProxyP99   float64 `json:"proxy_p99_ms"`
	RatioP50   float64 `json:"ratio_p50"`
	RatioP99   float64 `json:"ratio_p99"`
	AddedP50   float64 `json:"added_p50_us"`

	Connections  int     `json:"connections"`
	DirectReads  float64 `json:"direct_reads_per_s"`
	ProxyReads   float64 `json:"proxy_reads_per_s"`
	RatioReads   float64 `json:"ratio_reads"`
	DirectCPU    float64 `json:"direct_cpu_s_per_100k"` // process time: caller and server
	ProxyCPU     float64 `json:"proxy_cpu_s_per_100k"`  // process time: caller, proxy and server
	RatioCPU     float64 `json:"ratio_cpu"`
	IdleCPU      float64 `json:"idle_cores"` // process time per second without load
	IdleCallers  int     `json:"idle_callers"`
	IdleBytes    float64 `json:"idle_bytes_per_caller"` // heap and stacks after a collection
	IdleNote     string  `json:"idle_note,omitempty"`
	FilesAllowed uint64  `json:"files_allowed"`
}

const (
	overheadDatabase = "app"
	overheadTable    = "overhead"
	overheadRead     = "SELECT v FROM overhead WHERE k = 'key'"
	overheadSlots    = 128 // so that slots do not limit the throughput
	overheadCallers  = 64  // connections of the throughput part
	overheadBlock    = 200 // reads one way before the other way has its turn
	overheadRounds   = 3   // turns of each way in the throughput part
	overheadWarmup   = 500 // reads each way before the latency part
	overheadIdleTime = 500 * time.Millisecond
)

var overheadPlan = site.Plan{
	Zones:     []string{"zone-a", "zone-b", "zone-c"},
	Databases: []string{overheadDatabase},
	Entries:   1, Control: 1, Slots: overheadSlots, Connections: 2 * overheadSlots,
}

// Overhead measures what the proxy adds to a read on loopback without emulated
// latency.
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
	return e.memory(ctx)
}

// way opens a connection one of the two ways.
type way func(ctx context.Context) (*line, error)

func (e *overhead) throughProxy(ctx context.Context) (*line, error) {
	return openLine(ctx, plainDial, e.s.Addr(0), overheadDatabase)
}

// straight connects to a replica, as the proxy does for most reads.
func (e *overhead) straight(ctx context.Context) (*line, error) {
	for _, srv := range e.s.Servers(overheadDatabase) {
		if srv.Member().Status().Role == emul.Replica {
			return openLine(ctx, plainDial, srv.Addr(), overheadDatabase)
		}
	}
	return nil, errNoReplica
}

func plainDial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// prepare writes the row that is read, and waits until the replicas have it.
func (e *overhead) prepare(ctx context.Context) error {
	l, err := e.throughProxy(ctx)
	if err != nil {
		return err
	}
	defer l.close()
	if err := mustQuery(l, "INSERT INTO "+overheadTable+" (k, v) VALUES ('key', 'value')"); err != nil {
		return err
	}
	for _, srv := range e.s.Servers(overheadDatabase) {
		if err := awaitRow(ctx, srv.Member(), overheadTable, "key"); err != nil {
			return err
		}
	}
	return nil
}

// latency reads on one connection each way, in turns, so that a change of the
// load of the machine reaches both.
func (e *overhead) latency(ctx context.Context) error {
	direct, err := e.straight(ctx)
	if err != nil {
		return err
	}
	defer direct.close()
	proxy, err := e.throughProxy(ctx)
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
		if err := readBlock(direct, overheadBlock, e.direct); err != nil {
			return err
		}
		if err := readBlock(proxy, overheadBlock, e.proxy); err != nil {
			return err
		}
	}
	e.reportLatency()
	return ctx.Err()
}

func readBlock(l *line, n int, into latencies) error {
	for range n {
		start := time.Now()
		if err := mustQuery(l, overheadRead); err != nil {
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
	r.AddedP50 = (r.ProxyP50 - r.DirectP50) * 1000
}

// throughput reads on many connections each way, in turns.
func (e *overhead) throughput(ctx context.Context) error {
	var direct, proxy rate
	turn := e.o.duration(5*time.Second, 450*time.Millisecond) / overheadRounds
	for range overheadRounds {
		if err := direct.measure(ctx, e.straight, turn); err != nil {
			return err
		}
		if err := proxy.measure(ctx, e.throughProxy, turn); err != nil {
			return err
		}
	}
	r := &e.result
	r.Connections = overheadCallers
	r.DirectReads, r.ProxyReads = direct.perSecond(), proxy.perSecond()
	r.RatioReads = ratio(r.ProxyReads, r.DirectReads)
	r.DirectCPU, r.ProxyCPU = direct.cpuPer100k(), proxy.cpuPer100k()
	r.RatioCPU = ratio(r.ProxyCPU, r.DirectCPU)
	return nil
}

// rate is a number of reads with the time and the CPU time that they took.
type rate struct {
	reads int64
	took  time.Duration
	cpu   time.Duration
}

func (r *rate) perSecond() float64 { return ratio(float64(r.reads), r.took.Seconds()) }

func (r *rate) cpuPer100k() float64 { return ratio(r.cpu.Seconds()*100_000, float64(r.reads)) }

// measure reads on every connection for the given time. CPU time is that of
// the whole process, which holds the callers and the backend servers too.
func (r *rate) measure(ctx context.Context, open way, d time.Duration) error {
	lines, err := openLines(ctx, open, overheadCallers)
	defer closeLines(lines)
	if err != nil {
		return err
	}
	var reads atomic.Int64
	start, cpu := time.Now(), processCPU()
	end := start.Add(d)
	p := pool.New().WithErrors()
	for _, l := range lines {
		p.Go(func() error {
			for time.Now().Before(end) {
				if err := mustQuery(l, overheadRead); err != nil {
					return err
				}
				reads.Add(1)
			}
			return nil
		})
	}
	err = p.Wait()
	r.cpu += processCPU() - cpu
	r.took += time.Since(start)
	r.reads += reads.Load()
	return err
}

// openLines opens connections and reads once on each, so that the proxy has
// opened its backend connections before the measurement.
func openLines(ctx context.Context, open way, n int) ([]*line, error) {
	var lines []*line
	for range n {
		l, err := open(ctx)
		if err != nil {
			return lines, err
		}
		lines = append(lines, l)
		if err := mustQuery(l, overheadRead); err != nil {
			return lines, err
		}
	}
	return lines, nil
}

func closeLines(lines []*line) {
	for _, l := range lines {
		l.close()
	}
}

// idleCPU measures what the site takes without load, such as heartbeats.
func (e *overhead) idleCPU() {
	cpu := processCPU()
	time.Sleep(overheadIdleTime)
	e.result.IdleCPU = (processCPU() - cpu).Seconds() / overheadIdleTime.Seconds()
}

// processCPU returns the CPU time of the process so far, in user and kernel.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package site_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/emul"
	"tamarackcross/site"
)

const (
	database       = "app"
	callerZone     = "callers" // zone of callers, none of the site's zones
	pollInterval   = 2 * time.Millisecond
	defaultTimeout = 20 * time.Second // for a condition for which the script sets no limit
)

// scenario is the state of the scripted scenario that is running.
type scenario struct {
	t            *testing.T
	ctx          context.Context
	site         *site.Site
	addrs        []string // of the entries, for callers
	variables    map[string]string
	callers      map[string]*caller
	asyncResults map[string]chan string // of commands that run in the background, by name
	loads        []*load
	versions     *versionWatcher
}

// TestScenarios checks the guarantees P1 to P9 while parts of a site fail. The
// comments in each file name the failure that its scenarios guard against; P1 to
// P9 and F1 to F15 are the guarantees and failure cases of the design.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		t.Parallel()
		ctx, cancel := context.WithCancel(context.Background())
		s := &scenario{t: t, ctx: ctx}
		defer func() {
			cancel()
			s.teardown()
		}()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			out := s.command(d)
			if !strings.HasSuffix(out, "\n") {
				out += "\n"
			}
			return out
		})
	})
}

// teardown stops the site with its callers, loads and background commands.
func (s *scenario) teardown() {
	if s.site == nil {
		return
	}
	for _, l := range s.loads {
		l.cancel()
	}
	for _, c := range s.callers {
		c.close()
	}
	for _, done := range s.asyncResults {
		<-done
	}
	for _, l := range s.loads {
		l.wg.Wait()
	}
	s.versions.stop()
	s.site.Close()
	s.site = nil
}

// command runs one command of a script and returns its result. If the argument
// never is set, every result except that value is reported as "not" and the value:
// all other results are allowed.
func (s *scenario) command(d *datadriven.TestData) string {
	out := s.execute(d)
	if never := s.arg(d, "never", ""); never != "" && out != never {
		return "not " + never
	}
	return out
}

func (s *scenario) execute(d *datadriven.TestData) string {
	if name := s.arg(d, "async", ""); name != "" {
		out := make(chan string, 1)
		s.asyncResults[name] = out
		run := s.prepare(d)
		go func() { out <- run() }()
		return "started"
	}
	if d.Cmd == "result" {
		name := d.CmdArgs[0].Key
		out := <-s.asyncResults[name]
		delete(s.asyncResults, name)
		return out
	}
	return s.prepare(d)()
}

// prepare reads the arguments of a command and returns a function that runs it.
func (s *scenario) prepare(d *datadriven.TestData) func() string {
	switch d.Cmd {
	case "site":
		return func() string { return s.start(d) }
	case "let":
		return func() string { return s.let(d) }
	case "caller":
		return func() string { return s.connect(d) }
	case "sql":
		return s.sql(d)
	case "cancel":
		c := s.callers[d.CmdArgs[0].Key]
		return func() string { return s.okOrError(c.conn.CancelRequest(s.ctx)) }
	case "drop":
		c := s.callers[d.CmdArgs[0].Key]
		return func() string { return s.okOrError(c.conn.Conn().Close()) }
	case "load":
		return func() string { return s.load(d) }
	case "await":
		return func() string { return s.awaitConditions(d) }
	case "change":
		return s.change(d)
	case "race":
		return func() string { return s.race(d) }
	case "check":
		return func() string { return s.check(d.HasArg("unbroken")) }
	}
	return s.fault(d)
}

// arg returns the resolved value of an argument, or fallback without one.
func (s *scenario) arg(d *datadriven.TestData, key, fallback string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return s.resolve(a.Vals[0])
		}
	}
	return fallback
}

func (s *scenario) intArg(d *datadriven.TestData, key string, fallback int) int {
	n, err := strconv.Atoi(s.arg(d, key, strconv.Itoa(fallback)))
	if err != nil {
		d.Fatalf(s.t, "%s: %v", key, err)
	}
	return n
}

func (s *scenario) durationArg(d *datadriven.TestData, key string, fallback time.Duration) time.Duration {
	v, err := time.ParseDuration(s.arg(d, key, fallback.String()))
	if err != nil {
		d.Fatalf(s.t, "%s: %v", key, err)
	}
	return v
}

// start replaces the running site by a new one of three zones.
func (s *scenario) start(d *datadriven.TestData) string {
	s.teardown()
	plan := site.Plan{
		Zones: []string{"zone-a", "zone-b", "zone-c"}, Databases: []string{database},
		Entries: s.intArg(d, "entries", 3), Control: s.intArg(d, "control", 3),
		Slots: s.intArg(d, "slots", 5), Connections: s.intArg(d, "connections", 30),
	}
	var latency []emul.NetworkOption
	for i, a := range plan.Zones {
		for _, b := range plan.Zones[:i] {
			latency = append(latency, emul.WithLatency(a, b, s.durationArg(d, "latency", 500*time.Microsecond)))
		}
	}
	started, err := site.Start(s.ctx, plan, site.WithHost(newHost()), site.WithNetwork(latency...), site.WithMember(
		emul.WithApplyLag(s.durationArg(d, "lag", 0)), emul.WithServiceTime(s.durationArg(d, "service", 0)),
	))
	if err != nil {
		d.Fatalf(s.t, "start of the site failed: %v", err)
	}
	s.site, s.addrs, s.loads = started, nil, nil
	s.variables, s.callers, s.asyncResults = make(map[string]string), make(map[string]*caller), make(map[string]chan string)
	for i := range plan.Entries {
		s.addrs = append(s.addrs, started.Addr(i))
	}
	s.versions = watchVersions(s.ctx, started)
	return "ok"
}

// newHost returns a random loopback address. A site on its own address finds the
// ports of stopped instances and members free, because no other listener or
// connection of the machine takes them.
func newHost() string { return fmt.Sprintf("127.%d.%d.1", 1+rand.N(254), rand.N(256)) }

// let sets variables to the members or instances that names stand for now.
func (s *scenario) let(d *datadriven.TestData) string {
	for _, a := range d.CmdArgs {
		s.variables["$"+a.Key] = s.resolve(a.Vals[0])
	}
	return "ok"
}

// resolve returns what a name stands for: the value of a variable set by let, the
// member that is "primary" or "replica-N" now, or the control instance that is
// "leader" or "follower-N" now. The suffix ".zone" selects its zone, and ".entry"
// the first entry of that zone.
func (s *scenario) resolve(name string) string {
	base, suffix, _ := strings.Cut(name, ".")
	if v, ok := s.variables[base]; ok {
		base = v
	} else if s.site != nil {
		base = s.resolveRole(base)
	}
	switch suffix {
	case "zone":
		return s.zone(base)
	case "entry":
		return fmt.Sprintf("entry-%d", 1+slices.Index(s.site.Plan().Zones, s.zone(base)))
	case "":
		return base
	}
	return name
}

func (s *scenario) resolveRole(name string) string {
	role, number, _ := strings.Cut(name, "-")
	index, _ := strconv.Atoi(number)
	var candidates []string
	switch role {
	case "primary", "replica":
		for _, srv := range s.site.Servers(database) {
			if name := srv.Member().Name(); name != s.primary() {
				candidates = append(candidates, name)
			}
		}
		candidates = append([]string{s.primary()}, candidates...)
	case "leader", "follower":
		leader := s.leader()
		for index := range s.site.Plan().Control {
			if index != leader {
				candidates = append(candidates, fmt.Sprintf("entry-%d", index+1))
			}
		}
		candidates = append([]string{fmt.Sprintf("entry-%d", leader+1)}, candidates...)
	}
	if index < len(candidates) {
		return candidates[index]
	}
	return name
}

func (s *scenario) zone(name string) string {
	if srv := s.server(name); srv != nil {
		return srv.Zone()
	}
	return s.site.Instance(s.instance(name)).Zone()
}

// leader waits for a control instance that leads a majority and returns its index.
func (s *scenario) leader() int {
	found := -1
	s.await(defaultTimeout, func() bool {
		for i := range s.site.Plan().Control {
			if !s.site.Stopped(i) && s.site.Instance(i).Control().Status().Current {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// primary returns the primary of the newest term that any instance knows.
func (s *scenario) primary() string {
	var term uint64
	name := ""
	for _, in := range s.site.Instances() {
		if g, ok := in.Views().Group(database); ok && g.Term >= term {
			term, name = g.Term, g.Primary
		}
	}
	return name
}

// server returns the backend server with the given name, or nil.
func (s *scenario) server(name string) *emul.Server {
	for _, srv := range s.site.Servers(database) {
		if srv.Member().Name() == name {
			return srv
		}
	}
	return nil
}

// instance returns the index of the instance with the given name, or -1.
func (s *scenario) instance(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "entry-"))
	if err != nil || n < 1 || n > s.site.Plan().Entries {
		return -1
	}
	return n - 1
}

// await polls until cond is true and reports whether that was before the timeout.
func (s *scenario) await(timeout time.Duration, cond func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !cond() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

func (s *scenario) okOrError(err error) string {
	if err != nil {
		return err.Error()
	}
	return "ok"
}

// connect opens the connection of a new caller, with the session token of another
// caller if the argument token names one.
func (s *scenario) connect(d *datadriven.TestData) string {
	c := &caller{name: d.CmdArgs[0].Key, zone: s.arg(d, "from", callerZone), entry: s.instance(s.arg(d, "entry", "entry-1"))}
	if from, ok := s.callers[s.arg(d, "token", "")]; ok {
		c.token = from.token
	}
	s.callers[c.name] = c
	ctx, stop := context.WithTimeout(s.ctx, defaultTimeout)
	defer stop()
	return c.connect(ctx, s).String()
}

// sql runs the input as a query of a caller. With the argument until it repeats the
// query, connecting again as needed, until the answer equals that value.
func (s *scenario) sql(d *datadriven.TestData) func() string {
	c := s.callers[d.CmdArgs[0].Key]
	text, until := d.Input, s.arg(d, "until", "")
	if key := s.arg(d, "key", ""); key != "" {
		text = "SET tamarackcross.idempotency_key = '" + key + "'; " + text
	}
	runOnce := func() string {
		ctx, stop := context.WithTimeout(s.ctx, defaultTimeout)
		defer stop()
		if until != "" && (c.conn == nil || c.conn.IsClosed()) {
			if a := c.connect(ctx, s); a.outcome != done {
				return a.String()
			}
		}
		return c.exec(ctx, text).String()
	}
	if until == "" {
		return runOnce
	}
	return func() string {
		last := ""
		s.await(defaultTimeout, func() bool {
			last = runOnce()
			return strings.ReplaceAll(last, "\n", " ") == until
		})
		return last
	}
}

// load starts a load of background callers, or stops all loads.
func (s *scenario) load(d *datadriven.TestData) string {
	if d.HasArg("stop") {
		for _, l := range s.loads {
			l.stop()
		}
		return "ok"
	}
	var entries []int
	for _, a := range d.CmdArgs {
		for _, v := range a.Vals {
			if a.Key == "entries" {
				entries = append(entries, s.instance(s.resolve(v)))
			}
		}
	}
	for i := range s.addrs {
		if !d.HasArg("entries") {
			entries = append(entries, i)
		}
	}
	s.startLoad(s.arg(d, "from", callerZone), entries, map[string]int{
		"keyed": s.intArg(d, "keyed", 0), "plain": s.intArg(d, "plain", 0), "movers": s.intArg(d, "movers", 0),
	})
	return "ok"
}

// check verifies the loads against the data of the primary once it has applied its
// whole log. With unbroken it also checks that every request got an answer.
func (s *scenario) check(unbroken bool) string {
	var problems []string
	var m *emul.Member
	caughtUp := s.await(defaultTimeout, func() bool {
		m = s.server(s.primary()).Member()
		st := m.Status()
		return st.Role == emul.Primary && st.Applied == st.Held
	})
	if !caughtUp {
		problems = append(problems, fmt.Sprintf("primary has not applied its whole log: %+v", m.Status()))
	}
	for _, l := range s.loads {
		problems = append(problems, l.verify(m)...)
		if n := l.unansweredRequests(); unbroken && n > 0 {
			problems = append(problems, fmt.Sprintf("%d requests ended without an answer", n))
		}
	}
	problems = append(problems, s.versions.problems()...)
	if len(problems) == 0 {
		return "ok"
	}
	return strings.Join(problems, "\n")
}

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
	database  = "app"
	callers   = "callers" // zone of callers that are outside the zones of the site
	pollEvery = 2 * time.Millisecond
	limit     = 20 * time.Second // for a condition without a limit of its own
)

// scene is the state of one scenario.
type scene struct {
	t       *testing.T
	ctx     context.Context
	site    *site.Site
	addrs   []string // of the entries, for callers
	names   map[string]string
	callers map[string]*caller
	pending map[string]chan string // results of commands that run in the background
	loads   []*load
	watch   *watcher
}

// TestScenarios guards the promises P1 to P9 against failures of a whole site.
// Each file states the failure that each of its scenarios guards against.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		t.Parallel()
		ctx, cancel := context.WithCancel(context.Background())
		s := &scene{t: t, ctx: ctx}
		defer func() {
			cancel()
			s.end()
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

// end stops everything that a scenario started.
func (s *scene) end() {
	if s.site == nil {
		return
	}
	for _, l := range s.loads {
		l.cancel()
	}
	for _, c := range s.callers {
		c.close()
	}
	for _, done := range s.pending {
		<-done
	}
	for _, l := range s.loads {
		l.wg.Wait()
	}
	s.watch.stop()
	s.site.Close()
	s.site = nil
}

// command runs one command of a scenario and returns what it found. With never
// it only tells whether the outcome was that one, where others are all allowed.
func (s *scene) command(d *datadriven.TestData) string {
	out := s.perform(d)
	if never := s.arg(d, "never", ""); never != "" && out != never {
		return "not " + never
	}
	return out
}

func (s *scene) perform(d *datadriven.TestData) string {
	if name := s.arg(d, "async", ""); name != "" {
		out := make(chan string, 1)
		s.pending[name] = out
		run := s.run(d)
		go func() { out <- run() }()
		return "started"
	}
	if d.Cmd == "result" {
		name := d.CmdArgs[0].Key
		out := <-s.pending[name]
		delete(s.pending, name)
		return out
	}
	return s.run(d)()
}

// run reads the arguments of a command and returns what it does.
func (s *scene) run(d *datadriven.TestData) func() string {
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
		return func() string { return s.result(c.conn.CancelRequest(s.ctx)) }
	case "drop":
		c := s.callers[d.CmdArgs[0].Key]
		return func() string { return s.result(c.conn.Conn().Close()) }
	case "load":
		return func() string { return s.load(d) }
	case "await":
		return func() string { return s.awaitAll(d) }
	case "change":
		return s.change(d)
	case "race":
		return func() string { return s.race(d) }
	case "check":
		return func() string { return s.check(d.HasArg("unbroken")) }
	}
	return s.fault(d)
}

// arg returns the value of an argument, with names resolved.
func (s *scene) arg(d *datadriven.TestData, key, other string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return s.resolve(a.Vals[0])
		}
	}
	return other
}

func (s *scene) number(d *datadriven.TestData, key string, other int) int {
	n, err := strconv.Atoi(s.arg(d, key, strconv.Itoa(other)))
	if err != nil {
		d.Fatalf(s.t, "%s: %v", key, err)
	}
	return n
}

func (s *scene) duration(d *datadriven.TestData, key string, other time.Duration) time.Duration {
	v, err := time.ParseDuration(s.arg(d, key, other.String()))
	if err != nil {
		d.Fatalf(s.t, "%s: %v", key, err)
	}
	return v
}

// start starts a site of three zones and waits until it serves.
func (s *scene) start(d *datadriven.TestData) string {
	s.end()
	plan := site.Plan{
		Zones: []string{"zone-a", "zone-b", "zone-c"}, Databases: []string{database},
		Entries: s.number(d, "entries", 3), Control: s.number(d, "control", 3),
		Slots: s.number(d, "slots", 5), Connections: s.number(d, "connections", 30),
	}
	var latency []emul.NetworkOption
	for i, a := range plan.Zones {
		for _, b := range plan.Zones[:i] {
			latency = append(latency, emul.WithLatency(a, b, s.duration(d, "latency", 500*time.Microsecond)))
		}
	}
	started, err := site.Start(s.ctx, plan, site.WithHost(newHost()), site.WithNetwork(latency...), site.WithMember(
		emul.WithApplyLag(s.duration(d, "lag", 0)), emul.WithService(s.duration(d, "service", 0)),
	))
	if err != nil {
		d.Fatalf(s.t, "start site: %v", err)
	}
	s.site, s.addrs, s.loads = started, nil, nil
	s.names, s.callers, s.pending = make(map[string]string), make(map[string]*caller), make(map[string]chan string)
	for i := range plan.Entries {
		s.addrs = append(s.addrs, started.Addr(i))
	}
	s.watch = watchVersions(s.ctx, started)
	return "ok"
}

// newHost returns a loopback address of its own for each site, so that no other
// listener or connection of the machine takes the port of a stopped part.
func newHost() string { return fmt.Sprintf("127.%d.%d.1", 1+rand.N(254), rand.N(256)) }

// let gives names to a member or instance as it is now.
func (s *scene) let(d *datadriven.TestData) string {
	for _, a := range d.CmdArgs {
		s.names["$"+a.Key] = s.resolve(a.Vals[0])
	}
	return "ok"
}

// resolve replaces a name by what it stands for: a name given by let, or
// "primary", "replica-N", "leader" and "follower-N" (of control). The suffix
// ".zone" gives the zone of it and ".entry" the first entry of that zone.
func (s *scene) resolve(word string) string {
	base, suffix, _ := strings.Cut(word, ".")
	if v, ok := s.names[base]; ok {
		base = v
	} else if s.site != nil {
		base = s.current(base)
	}
	switch suffix {
	case "zone":
		return s.zone(base)
	case "entry":
		return fmt.Sprintf("entry-%d", 1+slices.Index(s.site.Plan().Zones, s.zone(base)))
	case "":
		return base
	}
	return word
}

func (s *scene) current(word string) string {
	role, n, _ := strings.Cut(word, "-")
	i, _ := strconv.Atoi(n)
	var others []string
	switch role {
	case "primary", "replica":
		for _, srv := range s.site.Servers(database) {
			if name := srv.Member().Name(); name != s.primary() {
				others = append(others, name)
			}
		}
		others = append([]string{s.primary()}, others...)
	case "leader", "follower":
		leader := s.leader()
		for i := range s.site.Plan().Control {
			if i != leader {
				others = append(others, fmt.Sprintf("entry-%d", i+1))
			}
		}
		others = append([]string{fmt.Sprintf("entry-%d", leader+1)}, others...)
	}
	if i < len(others) {
		return others[i]
	}
	return word
}

func (s *scene) zone(name string) string {
	if srv := s.server(name); srv != nil {
		return srv.Zone()
	}
	return s.site.Instance(s.instance(name)).Zone()
}

// leader returns the control member that leads with a majority.
func (s *scene) leader() int {
	found := -1
	s.await(limit, func() bool {
		for i := range s.site.Plan().Control {
			if !s.site.Stopped(i) && s.site.Instance(i).Node().Status().Current {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// primary returns the primary in the newest state that an instance knows.
func (s *scene) primary() string {
	var term uint64
	name := ""
	for _, in := range s.site.Instances() {
		if g, ok := in.Views().Group(database); ok && g.Term >= term {
			term, name = g.Term, g.Primary
		}
	}
	return name
}

// server returns the backend server of a name, or nil.
func (s *scene) server(name string) *emul.Server {
	for _, srv := range s.site.Servers(database) {
		if srv.Member().Name() == name {
			return srv
		}
	}
	return nil
}

// instance returns the number of an instance, or -1.
func (s *scene) instance(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "entry-"))
	if err != nil || n < 1 || n > s.site.Plan().Entries {
		return -1
	}
	return n - 1
}

// await polls until cond holds, and reports whether it did in time.
func (s *scene) await(limit time.Duration, cond func() bool) bool {
	until := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(until) {
			return false
		}
		time.Sleep(pollEvery)
	}
	return true
}

func (s *scene) result(err error) string {
	if err != nil {
		return err.Error()
	}
	return "ok"
}

// connect opens the connection of a caller. It takes over the token of another.
func (s *scene) connect(d *datadriven.TestData) string {
	c := &caller{name: d.CmdArgs[0].Key, from: s.arg(d, "from", callers), entry: s.instance(s.arg(d, "entry", "entry-1"))}
	if from, ok := s.callers[s.arg(d, "token", "")]; ok {
		c.token = from.token
	}
	s.callers[c.name] = c
	ctx, stop := context.WithTimeout(s.ctx, limit)
	defer stop()
	return c.connect(ctx, s).String()
}

// sql runs the input through a caller. With until it repeats the input, on new
// connections, until the answer is the given one.
func (s *scene) sql(d *datadriven.TestData) func() string {
	c := s.callers[d.CmdArgs[0].Key]
	text, until := d.Input, s.arg(d, "until", "")
	if key := s.arg(d, "key", ""); key != "" {
		text = "SET tamarackcross.idempotency_key = '" + key + "'; " + text
	}
	call := func() string {
		ctx, stop := context.WithTimeout(s.ctx, limit)
		defer stop()
		if until != "" && (c.conn == nil || c.conn.IsClosed()) {
			if a := c.connect(ctx, s); a.outcome != done {
				return a.String()
			}
		}
		return c.exec(ctx, text).String()
	}
	if until == "" {
		return call
	}
	return func() string {
		last := ""
		s.await(limit, func() bool {
			last = call()
			return strings.ReplaceAll(last, "\n", " ") == until
		})
		return last
	}
}

// load starts background callers, or stops all of them.
func (s *scene) load(d *datadriven.TestData) string {
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
	s.startLoad(s.arg(d, "from", callers), entries, map[string]int{
		"keyed": s.number(d, "keyed", 0), "plain": s.number(d, "plain", 0), "movers": s.number(d, "movers", 0),
	})
	return "ok"
}

// check verifies the loads against the primary once it has applied everything.
// With unbroken, also that no request ended without an answer.
func (s *scene) check(unbroken bool) string {
	var found []string
	var m *emul.Member
	settled := s.await(limit, func() bool {
		m = s.server(s.primary()).Member()
		st := m.Status()
		return st.Role == emul.Primary && st.Applied == st.Held
	})
	if !settled {
		found = append(found, fmt.Sprintf("primary is not settled: %+v", m.Status()))
	}
	for _, l := range s.loads {
		found = append(found, l.verify(m)...)
		if n := l.brokenRequests(); unbroken && n > 0 {
			found = append(found, fmt.Sprintf("%d requests ended without an answer", n))
		}
	}
	found = append(found, s.watch.problems()...)
	if len(found) == 0 {
		return "ok"
	}
	return strings.Join(found, "\n")
}

package proxy_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/proxy"
	"tamarackcross/roster"
)

// fakeCaller is the codec of a caller whose requests come from a script.
type fakeCaller struct {
	database string
	user     string
	requests chan proxy.Request
	answers  chan proxy.Answer
	left     chan struct{}
	once     sync.Once
	gone     atomic.Bool // the caller has closed its connection
}

func (c *fakeCaller) ReadStartup(time.Duration) (string, string, error) {
	return c.database, cmp.Or(c.user, "caller"), nil
}
func (c *fakeCaller) SendReady() error { return nil }
func (c *fakeCaller) Interrupt()       { c.once.Do(func() { close(c.left) }) }

func (c *fakeCaller) Close() error {
	c.Interrupt()
	return nil
}

func (c *fakeCaller) Refuse(f *proxy.Fault) error {
	c.answers <- proxy.Answer{Fault: f}
	return nil
}

// Gone reports whether the script has made the caller leave.
func (c *fakeCaller) Gone() bool { return c.gone.Load() }

func (c *fakeCaller) Next(limit time.Duration) (proxy.Request, error) {
	var idle <-chan time.Time
	if limit > 0 {
		idle = time.After(limit)
	}
	select {
	case r := <-c.requests:
		return r, nil
	case <-idle:
		return proxy.Request{}, proxy.ErrIdle
	case <-c.left:
		return proxy.Request{}, proxy.ErrInterrupted
	}
}

func (c *fakeCaller) Reply(a proxy.Answer) error {
	c.answers <- a
	return nil
}

// scriptedListener accepts the connections that a script opens.
type scriptedListener struct{ conns chan net.Conn }

func (p scriptedListener) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p scriptedListener) Close() error   { return nil }
func (p scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// harness is one instance with the backend servers of one group.
type harness struct {
	t        *testing.T
	group    *fakeGroup
	table    *roster.Table
	server   *proxy.Server
	conns    chan net.Conn
	opened   chan *fakeCaller
	sessions map[string]*fakeCaller
	seq      uint64
	version  uint64
	maxConns int // of each backend server; 0 for the default of document
	logged   logBuffer
	log      *event.Log
	markers  int // lines that awaitWritten has logged
}

// logBuffer keeps the log of an instance.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// awaitWritten waits until the lines that were logged before have been written.
func (r *harness) awaitWritten() {
	r.t.Helper()
	r.markers++
	marker := fmt.Sprintf("marker %d of the test", r.markers)
	r.log.Warn().Msg(marker)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if r.logged.contains(marker) {
			return
		}
	}
	r.t.Fatal("a logged line was not written within 5 s")
}

func (b *logBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

// linesAbout returns the log lines about a request, without the fields that differ
// between runs.
func (b *logBuffer) linesAbout(t *testing.T, id string) string {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for line := range strings.Lines(b.text.String()) {
		var f map[string]any
		if err := json.Unmarshal([]byte(line), &f); err != nil {
			t.Fatal(err)
		}
		if f[event.ID] != id {
			continue
		}
		text := fmt.Sprint(f["message"])
		for _, name := range []string{event.Attempts, event.Member, event.Primary, event.Freshness, event.Required, event.Reason, event.Code, event.Outcome} {
			if v, ok := f[name]; ok {
				text += fmt.Sprintf(" %s=%v", name, v)
			}
		}
		out = append(out, text)
	}
	return strings.Join(out, "\n")
}

func newHarness(t *testing.T, opts ...proxy.Option) *harness {
	r := &harness{
		t: t, group: &fakeGroup{members: map[string]*fakeMember{}, term: 1}, table: roster.New(),
		conns: make(chan net.Conn), opened: make(chan *fakeCaller, 1), sessions: map[string]*fakeCaller{},
	}
	r.log = event.New(&r.logged, zerolog.InfoLevel, 1<<20, time.Now)
	r.server = proxy.New(r.group, r.table, append(opts, proxy.WithZone("a"), proxy.WithLog(r.log))...)
	ended := make(chan error, 1)
	go func() {
		ended <- r.server.Serve(context.Background(), scriptedListener{r.conns}, func(net.Conn) proxy.Caller { return <-r.opened })
	}()
	t.Cleanup(func() {
		r.server.Close()
		close(r.conns)
		<-ended
	})
	return r
}

// addMember adds a backend server: "m1 primary".
func (r *harness) addMember(line string) {
	f := strings.Fields(line)
	m := &fakeMember{group: r.group, id: f[0], primary: len(f) > 1}
	r.group.mu.Lock()
	r.group.members[m.id] = m
	r.group.mu.Unlock()
	r.announce(m)
}

func (r *harness) announce(m *fakeMember) { r.announceState(m, roster.Ready) }

func (r *harness) announceState(m *fakeMember, state roster.State) {
	r.seq++
	r.table.Put(roster.Entry{
		Service: "db", ID: m.id, Addr: m.id, Zone: "a", Slots: 3, Seq: r.seq, Primary: m.primary, State: state,
	}, time.Now())
}

// configure puts a document with the given routes in force.
func (r *harness) configure(lines string) {
	r.version++
	r.server.Configure(r.document(lines))
}

// document returns a document with the given routes, "name freshness age" or "public name
// freshness age", and customers, "customer name key key".
func (r *harness) document(lines string) *config.Document {
	doc := &config.Document{
		Version: max(1, r.version), Routes: map[string]config.Route{}, IdleTransactionTimeout: time.Second,
		Services: map[string]config.Service{"db": {Name: "db", MaxConns: cmp.Or(r.maxConns, 30)}},
	}
	for line := range strings.SplitSeq(lines, "\n") {
		f := strings.Fields(line)
		if f[0] == "customer" {
			r.addCustomer(doc, f[1], f[2:])
			continue
		}
		public := f[0] == "public"
		if public {
			f = f[1:]
		}
		route := config.Route{Database: f[0], Service: "db", Timeout: 400 * time.Millisecond, LatencyGoal: 400 * time.Millisecond, Public: public}
		switch f[1] {
		case "bounded":
			route.Freshness = config.Bounded
		case "session":
			route.Freshness = config.Session
		}
		if len(f) > 2 {
			age, err := time.ParseDuration(f[2])
			if err != nil {
				r.t.Fatal(err)
			}
			route.MaxAge = age
		}
		doc.Routes[route.Database] = route
	}
	return doc
}

func (r *harness) addCustomer(doc *config.Document, name string, secrets []string) {
	keys := make([]config.Key, len(secrets))
	for i, s := range secrets {
		keys[i] = config.NewKey(s)
	}
	if err := doc.AddCustomer(config.Customer{Name: name}, keys...); err != nil {
		r.t.Fatal(err)
	}
}

// open opens a session: "s1 database" or "s1 database key".
func (r *harness) open(line string) string {
	f := strings.Fields(line)
	c := &fakeCaller{
		database: f[1], user: strings.Join(f[2:], ""), requests: make(chan proxy.Request), answers: make(chan proxy.Answer, 1), left: make(chan struct{}),
	}
	r.opened <- c
	r.conns <- nil
	select {
	case a := <-c.answers:
		return "refused " + a.Fault.Code.String()
	case <-time.After(50 * time.Millisecond):
	}
	r.sessions[f[0]] = c
	return "open"
}

// send sends a request and returns its answer as text: "s1 id text".
func (r *harness) send(line string) string {
	name, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	c := r.sessions[name]
	c.requests <- proxy.Request{ID: id, Text: text, Statement: parse(r.t, text)}
	a := <-c.answers
	status := [...]string{"idle", "in transaction", "failed"}[a.Status]
	if a.Fault != nil {
		return fmt.Sprintf("%s: fault %s, %s", id, a.Fault.Code, status)
	}
	signature, _, _ := strings.Cut(a.Signature, ":")
	if signature == "" {
		signature = "proxy"
	}
	return fmt.Sprintf("%s: done by %s, %s", id, signature, status)
}

func parse(t *testing.T, text string) proxy.Statement {
	t.Helper()
	f := strings.Fields(text)
	switch f[0] {
	case "read":
		return proxy.Read{}
	case "write":
		return proxy.Write{}
	case "begin":
		return proxy.Begin{ReadOnly: len(f) > 1}
	case "commit":
		return proxy.Commit{}
	case "rollback":
		return proxy.Rollback{}
	case "set":
		return proxy.Set{Name: f[1], Value: f[2]}
	case "prepare":
		return proxy.Prepare{Name: f[1], Statement: proxy.PreparedStatement{Writes: f[2] == "write", Text: strings.Join(f[2:], " ")}}
	case "execute":
		return proxy.Execute{Name: f[1], Args: strings.Join(f[2:], " ")}
	case "forget":
		return proxy.Deallocate{Name: f[1]}
	}
	return proxy.Malformed{}
}

// inject sets a fault of a backend server: "m1 lose 1".
func (r *harness) inject(line string) {
	var id, kind string
	var n int
	if _, err := fmt.Sscan(line, &id, &kind, &n); err != nil {
		r.t.Fatal(err)
	}
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	m := r.group.members[id]
	switch kind {
	case "leaving":
		r.announceState(m, roster.Draining)
	case "lose":
		m.loseAnswers = n
	case "cut":
		m.failSends = n
	case "busy":
		m.rejectBusy = n
	case "unreachable":
		m.unreachable = n > 0
	case "full":
		m.maxConns = m.openConns * min(n, 1) // "full 1": no more than are open now
	}
}

// takeExecuted returns the statements that a member ran since the last call.
func (r *harness) takeExecuted(id string) string {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	m := r.group.members[id]
	out := strings.Join(m.executed, "\n")
	m.executed = nil
	if out == "" {
		return "nothing"
	}
	return out
}

// TestProxy guards against requests that run twice, mix up the state of sessions or
// report a wrong outcome, when answers are lost, connections fail or the primary
// changes. It replays scripts of callers and faults.
func TestProxy(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := newHarness(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			r.t = t
			var out []string
			lines := strings.Split(d.Input, "\n")
			switch d.Cmd {
			case "config":
				r.configure(d.Input)
				return "ok"
			case "replicate":
				r.group.replicate()
				return "ok"
			case "wait":
				time.Sleep(duration(t, d.CmdArgs[0].Key))
				return "ok"
			case "term":
				r.group.setTerm(t, d.CmdArgs[0].Key)
				return "ok"
			case "promote":
				r.group.promote(d.CmdArgs[0].Key)
				return "ok"
			case "log":
				r.awaitWritten()
				return r.logged.linesAbout(t, d.CmdArgs[0].Key)
			case "runs":
				return r.takeExecuted(d.CmdArgs[0].Key)
			}
			for _, line := range lines {
				switch d.Cmd {
				case "member":
					r.addMember(line)
					out = append(out, "ok")
				case "fault":
					r.inject(line)
					out = append(out, "ok")
				case "open":
					out = append(out, r.open(line))
				case "send":
					out = append(out, r.send(line))
				default:
					d.Fatalf(t, "unknown command %s", d.Cmd)
				}
			}
			return strings.Join(out, "\n")
		})
	})
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

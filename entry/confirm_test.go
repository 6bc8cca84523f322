package entry_test

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"tamarackcross/emul"
	"tamarackcross/entry"
	"tamarackcross/group"
	"tamarackcross/token"
)

// answerDialer stops the entry once, while it reads the answer to a statement that contains text,
// as soon as more than min bytes of the answer have arrived.
type answerDialer struct {
	text    string
	min     int
	armed   atomic.Bool
	reached chan struct{} // closed when the entry stands still
	resume  chan struct{} // closed when it may go on
}

func newAnswerDialer(text string, min int) *answerDialer {
	return &answerDialer{text: text, min: min, reached: make(chan struct{}), resume: make(chan struct{})}
}

func (d *answerDialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	var nd net.Dialer
	nc, err := nd.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &answerConn{Conn: nc, dialer: d}, nil
}

// runWith runs the statement and calls step while the entry stands still. It returns the first value
// of the result and a description of the error.
func (d *answerDialer) runWith(t *testing.T, c *pgx.Conn, step func()) (value, outcome string) {
	t.Helper()
	type answer struct{ value, outcome string }
	done := make(chan answer, 1)
	ctx := testContext(t)
	d.armed.Store(true)
	go func() {
		rs, err := c.PgConn().Exec(ctx, d.text).ReadAll()
		a := answer{outcome: describeError(err)}
		if err == nil && len(rs[0].Rows) > 0 {
			a.value = string(rs[0].Rows[0][0])
		}
		done <- a
	}()
	select {
	case <-d.reached:
		step()
		close(d.resume)
		a := <-done
		return a.value, a.outcome
	case a := <-done:
		t.Fatalf("the answer was not held up: %v", a)
	}
	return "", ""
}

type answerConn struct {
	net.Conn
	dialer *answerDialer
	sent   atomic.Bool
	bytes  int
}

func (c *answerConn) Write(b []byte) (int, error) {
	if c.dialer.armed.Load() && bytes.Contains(b, []byte(c.dialer.text)) {
		c.sent.Store(true)
	}
	return c.Conn.Write(b)
}

func (c *answerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.sent.Load() {
		return n, err
	}
	c.bytes += n
	if c.bytes > c.dialer.min && c.dialer.armed.CompareAndSwap(true, false) {
		close(c.dialer.reached)
		<-c.dialer.resume
	}
	return n, err
}

// failover is a change of primary from the first member of a site to the second one, in steps. The
// first member is not told, as if it were cut off from control and from the other members.
type failover struct {
	t    *testing.T
	s    *site
	next entry.Group
}

// startFailover fences the replicas, once they hold all that the first member holds, and chooses the
// second member.
func startFailover(t *testing.T, s *site) *failover {
	t.Helper()
	start := s.group.Member(0).Status().Held
	for i := 1; i <= 2; i++ {
		eventually(t, "a replica does not receive all", func() bool { return s.group.Member(i).Status().Held == start })
		if _, err := s.group.Member(i).Fence(2); err != nil {
			t.Fatal(err)
		}
	}
	next, _ := s.dir.Group("app")
	h, err := next.History.Append(group.TermStart{Term: 2, Offset: start.Offset})
	if err != nil {
		t.Fatal(err)
	}
	next.Term, next.History, next.Primary = 2, h, s.group.Member(1).Name()
	return &failover{t: t, s: s, next: next}
}

// promote makes the second member the primary, which the third one follows.
func (f *failover) promote() {
	f.t.Helper()
	if err := f.s.group.Member(1).Promote(2, f.next.History); err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.s.group.Member(2).Follow(testContext(f.t), 2, f.s.group.Addr(1)); err != nil {
		f.t.Fatal(err)
	}
}

// announce tells the entries of the new primary.
func (f *failover) announce() { f.s.dir.Set(f.next) }

// connectMember returns a connection to a member itself.
func connectMember(t *testing.T, s *site, i int) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(testContext(t), "postgres://app@"+s.group.Addr(i)+"/app?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

const (
	valueRead    = "SELECT v FROM t WHERE k = 'x'"
	latestParams = "&tamarackcross.deadline=3s&tamarackcross.read_bound=latest"
)

// TestLatestReadOfFormerPrimary guards against a read of the latest state that a primary serves
// which has been replaced before, and that its successor confirms.
func TestLatestReadOfFormerPrimary(t *testing.T) {
	s := startSite(t)
	d := newAnswerDialer(valueRead, 0)
	s.addEntry(t, entry.WithDial(d.dial))
	c := s.connect(t, 2, latestParams)
	mustRun(t, c, "INSERT INTO t (k, v) VALUES ('x', 'old')")
	f := startFailover(t, s)
	f.promote()
	mustRun(t, connectMember(t, s, 1), "UPDATE t SET v = 'new' WHERE k = 'x'")
	value, outcome := d.runWith(t, c, f.announce)
	expectEqual(t, "answer", "new ok", value+" "+outcome)
}

// TestLatestReadBeforePromotion guards against a read of the latest state that the primary of a new
// term serves before its promotion, while it has not applied all it holds, and confirms after it.
func TestLatestReadBeforePromotion(t *testing.T) {
	s := startSite(t)
	d := newAnswerDialer(valueRead, 0)
	s.addEntry(t, entry.WithDial(d.dial))
	c := s.connect(t, 2, latestParams)
	s.group.Member(1).SetApplyLag(time.Hour)
	mustRun(t, c, "INSERT INTO t (k, v) VALUES ('x', 'new')")
	f := startFailover(t, s)
	f.announce()
	value, outcome := d.runWith(t, c, f.promote)
	expectEqual(t, "answer", "new ok", value+" "+outcome)
}

// TestReadOfDiscardedData guards against a read that is answered with data that a promotion discards
// while the answer is sent, since a majority holds a position of the next term.
func TestReadOfDiscardedData(t *testing.T) {
	s := startSite(t, emul.WithApplyLag(time.Hour))
	d := newAnswerDialer("SELECT repeat('x', 1024) FROM generate_series(1, 400)", 300<<10)
	s.addEntry(t, entry.WithDial(d.dial))
	c, other := s.connect(t, 2, ""), s.connect(t, 2, "")
	mustRun(t, c, "INSERT INTO t (k, v) VALUES ('x', 'kept')")
	f := startFailover(t, s)
	mustRun(t, connectMember(t, s, 0), "INSERT INTO t (k, v) VALUES ('y', 'discarded')")
	_, outcome := d.runWith(t, c, func() {
		f.promote()
		f.announce()
		mustRun(t, other, "INSERT INTO t (k, v) VALUES ('z', 'kept')")
	})
	expectEqual(t, "answer", "40001 outcome=not_run reason=bound_discarded", outcome)
}

// TestTransactionReadsOwnWrites guards against a transaction that reads older data than its session
// has seen: at a primary that has been replaced, while the entry does not know of it, or at a member
// that was chosen as the primary and is not promoted yet.
func TestTransactionReadsOwnWrites(t *testing.T) {
	for _, tt := range []struct {
		name          string
		first, second func(*failover)
	}{
		{"at a former primary", (*failover).promote, (*failover).announce},
		{"before a promotion", (*failover).announce, (*failover).promote},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := startSite(t)
			s.group.Member(1).SetApplyLag(time.Hour)
			mustRun(t, s.connect(t, 0, ""), "INSERT INTO t (k, v) VALUES ('x', 'new')")
			f := startFailover(t, s)
			tt.first(f)
			seen := s.group.Member(1).Status().Held
			if s.group.Member(1).Status().Role == emul.Primary {
				mustRun(t, connectMember(t, s, 1), "UPDATE t SET v = 'newer' WHERE k = 'x'")
				seen = s.group.Member(1).Status().Held
			}
			text, err := token.New(tokenKey).Encode(token.Vector{}.With("app", seen))
			if err != nil {
				t.Fatal(err)
			}
			c := s.connect(t, 0, "&tamarackcross.deadline=500ms&tamarackcross.token="+text)
			_, err = c.PgConn().Exec(testContext(t), "BEGIN; "+valueRead).ReadAll()
			expectEqual(t, "answer to one query", "57P03 outcome=not_run reason=stale_primary", describeError(err))
			mustRun(t, c, "BEGIN")
			_, err = c.PgConn().Exec(testContext(t), "INSERT INTO t (k) VALUES ('y'); "+valueRead).ReadAll()
			if err == nil {
				t.Error("a read behind a write was answered with old data")
			}
			mustRun(t, c, "ROLLBACK", "BEGIN")
			_, err = c.PgConn().Exec(testContext(t), valueRead).ReadAll()
			expectEqual(t, "answer", "57P03 outcome=not_run reason=below_bound", describeError(err))
			mustRun(t, c, "ROLLBACK")
			tt.second(f)
			want, _ := s.group.Member(1).Value("t", "x")
			expectEqual(t, "value afterwards", want, mustRun(t, c, "BEGIN", valueRead))
		})
	}
}

// slowDialer delays the next writes that contain text, left of them.
type slowDialer struct {
	text  string
	delay time.Duration
	left  atomic.Int32
}

func (d *slowDialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	var nd net.Dialer
	nc, err := nd.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: nc, dialer: d}, nil
}

type slowConn struct {
	net.Conn
	dialer *slowDialer
}

func (c *slowConn) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(c.dialer.text)) && c.dialer.left.Add(-1) >= 0 {
		time.Sleep(c.dialer.delay)
	}
	return c.Conn.Write(b)
}

// TestSlowConfirmation guards against a read of the latest state that is refused with most of its
// time left since the confirmation of the primary has been slow, as it is on a busy machine.
func TestSlowConfirmation(t *testing.T) {
	s := startSite(t)
	d := &slowDialer{text: "group_confirm", delay: 600 * time.Millisecond}
	s.addEntry(t, entry.WithDial(d.dial))
	c := s.connect(t, 2, latestParams)
	mustRun(t, c, "INSERT INTO t (k, v) VALUES ('x', 'new')", valueRead)
	d.left.Store(2)
	expectEqual(t, "value", "new", mustRun(t, c, valueRead))
}

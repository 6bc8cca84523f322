package meas

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackcross/emul"
	"tamarackcross/site"
)

// naive is the baseline of the experiments: a pooler with a fixed share of the
// connections of each member per entry, a random replica for each read, an
// unbounded queue in order of arrival, and no deadlines.
type naive struct {
	entries []*naiveEntry
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// naiveEntry is one instance of the pooler.
type naiveEntry struct {
	n        *naive
	name     string
	listener net.Listener
	dial     dialer
	primary  map[string]*naiveMember
	replicas map[string][]*naiveMember
}

// naiveMember is the share of one entry in the connections of a member.
// Receivers of a channel are served in order of arrival.
type naiveMember struct {
	addr     string
	database string
	free     chan *line
}

// startNaive starts one pooler per entry of the site, in the same zones.
func startNaive(ctx context.Context, s *site.Site) (*naive, error) {
	ctx, cancel := context.WithCancel(ctx)
	n := &naive{cancel: cancel, conns: make(map[net.Conn]struct{})}
	for i, in := range s.Instances() {
		e, err := n.start(ctx, s, "naive-"+in.Name(), s.Plan().Zones[i%len(s.Plan().Zones)])
		if err != nil {
			n.close()
			return nil, err
		}
		n.entries = append(n.entries, e)
	}
	return n, nil
}

func (n *naive) start(ctx context.Context, s *site.Site, name, zone string) (*naiveEntry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Network().Register(l.Addr().String(), name, zone)
	e := &naiveEntry{
		n: n, name: name, listener: l, dial: dialer(s.Network().Dialer(name, zone)),
		primary: make(map[string]*naiveMember), replicas: make(map[string][]*naiveMember),
	}
	n.wg.Go(func() { e.serve(ctx) })
	share := max(1, s.Plan().Connections/s.Plan().Entries)
	for _, db := range s.Plan().Databases {
		if err := e.join(ctx, s, db, share); err != nil {
			_ = l.Close()
			return nil, err
		}
	}
	return e, nil
}

// join opens the share of connections to each member of a database.
func (e *naiveEntry) join(ctx context.Context, s *site.Site, db string, share int) error {
	for _, srv := range s.Servers(db) {
		m := &naiveMember{addr: srv.Addr(), database: db, free: make(chan *line, share)}
		for range share {
			l, err := e.open(ctx, m)
			if err != nil {
				return err
			}
			m.free <- l
		}
		if srv.Member().Status().Role == emul.Primary {
			e.primary[db] = m
		} else {
			e.replicas[db] = append(e.replicas[db], m)
		}
	}
	if e.primary[db] == nil || len(e.replicas[db]) == 0 {
		return eris.Errorf("database %s has no primary or no replica", db)
	}
	return nil
}

func (e *naiveEntry) open(ctx context.Context, m *naiveMember) (*line, error) {
	l, err := openLine(ctx, e.dial, m.addr, m.database)
	if err == nil {
		e.n.keep(l.nc)
	}
	return l, err
}

func (e *naiveEntry) serve(ctx context.Context) {
	for {
		nc, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.n.keep(nc)
		e.n.wg.Go(func() { e.handle(ctx, nc) })
	}
}

// handle serves one caller with the simple protocol.
func (e *naiveEntry) handle(ctx context.Context, nc net.Conn) {
	defer e.n.drop(nc)
	be := pgproto3.NewBackend(nc, nc)
	msg, err := be.ReceiveStartupMessage()
	if err != nil {
		return
	}
	start, ok := msg.(*pgproto3.StartupMessage)
	if !ok || e.primary[start.Parameters["database"]] == nil {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if be.Flush() != nil {
		return
	}
	for {
		msg, err := be.Receive()
		if err != nil {
			return
		}
		q, ok := msg.(*pgproto3.Query)
		if !ok || e.relay(ctx, nc, start.Parameters["database"], q.String) != nil {
			return
		}
	}
}

// choose returns the primary for a write and any replica for a read.
func (e *naiveEntry) choose(db, sql string) *naiveMember {
	if !strings.HasPrefix(sql, "SELECT") {
		return e.primary[db]
	}
	all := e.replicas[db]
	return all[rand.IntN(len(all))]
}

// relay runs one statement and passes the answer on.
func (e *naiveEntry) relay(ctx context.Context, nc net.Conn, db, sql string) error {
	m := e.choose(db, sql)
	var l *line
	select {
	case l = <-m.free:
	case <-ctx.Done():
		return ctx.Err()
	}
	out, err := exchange(l, sql)
	if err != nil {
		e.n.drop(l.nc)
		if l, rerr := e.open(ctx, m); rerr == nil {
			m.free <- l
		}
		return err
	}
	m.free <- l
	_, err = nc.Write(out)
	return err
}

// exchange returns the whole answer to sql as it came.
func exchange(l *line, sql string) ([]byte, error) {
	if err := l.send(sql); err != nil {
		return nil, err
	}
	var out []byte
	for {
		typ, body, err := l.frame()
		if err != nil {
			return nil, err
		}
		out = appendFrame(out, typ, body)
		if typ == 'Z' {
			return out, nil
		}
	}
}

func (n *naive) keep(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[nc] = struct{}{}
}

func (n *naive) drop(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, nc)
	_ = nc.Close()
}

// close ends all connections and waits for the goroutines.
func (n *naive) close() {
	n.cancel()
	for _, e := range n.entries {
		_ = e.listener.Close()
	}
	n.mu.Lock()
	for nc := range n.conns {
		_ = nc.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *naive) addrs() []string {
	var out []string
	for _, e := range n.entries {
		out = append(out, e.listener.Addr().String())
	}
	return out
}

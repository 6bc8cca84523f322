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

// baselinePool is the baseline that the entries are compared with: a simple
// connection pooler. Each of its instances has a fixed share of the connections of
// each member, sends each read to a random replica, queues requests without limit in
// order of arrival, and has no deadlines.
type baselinePool struct {
	entries []*baselineEntry
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// baselineEntry is one instance of the pooler.
type baselineEntry struct {
	pool     *baselinePool
	name     string
	listener net.Listener
	dial     dialer
	primary  map[string]*baselineMember
	replicas map[string][]*baselineMember
}

// baselineMember holds the connections of one pooler instance to one member. The
// channel of idle connections serves its receivers in order of arrival.
type baselineMember struct {
	addr     string
	database string
	idle     chan *simpleConn
}

// startBaseline starts one pooler instance for each entry of the site, in the same
// zone.
func startBaseline(ctx context.Context, s *site.Site) (*baselinePool, error) {
	ctx, cancel := context.WithCancel(ctx)
	n := &baselinePool{cancel: cancel, open: make(map[net.Conn]struct{})}
	for i, in := range s.Instances() {
		e, err := n.startEntry(ctx, s, "naive-"+in.Name(), s.Plan().Zones[i%len(s.Plan().Zones)])
		if err != nil {
			n.close()
			return nil, err
		}
		n.entries = append(n.entries, e)
	}
	return n, nil
}

func (n *baselinePool) startEntry(ctx context.Context, s *site.Site, name, zone string) (*baselineEntry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Network().Register(l.Addr().String(), name, zone)
	e := &baselineEntry{
		pool: n, name: name, listener: l, dial: dialer(s.Network().Dialer(name, zone)),
		primary: make(map[string]*baselineMember), replicas: make(map[string][]*baselineMember),
	}
	n.wg.Go(func() { e.serve(ctx) })
	perMember := max(1, s.Plan().Connections/s.Plan().Entries)
	for _, db := range s.Plan().Databases {
		if err := e.connectMembers(ctx, s, db, perMember); err != nil {
			_ = l.Close()
			return nil, err
		}
	}
	return e, nil
}

// connectMembers opens the given number of connections to each member of a database.
func (e *baselineEntry) connectMembers(ctx context.Context, s *site.Site, db string, perMember int) error {
	for _, srv := range s.Servers(db) {
		m := &baselineMember{addr: srv.Addr(), database: db, idle: make(chan *simpleConn, perMember)}
		for range perMember {
			c, err := e.open(ctx, m)
			if err != nil {
				return err
			}
			m.idle <- c
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

func (e *baselineEntry) open(ctx context.Context, m *baselineMember) (*simpleConn, error) {
	c, err := openConn(ctx, e.dial, m.addr, m.database)
	if err == nil {
		e.pool.track(c.nc)
	}
	return c, err
}

func (e *baselineEntry) serve(ctx context.Context) {
	for {
		nc, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.pool.track(nc)
		e.pool.wg.Go(func() { e.handle(ctx, nc) })
	}
}

// handle serves one caller with the simple query protocol.
func (e *baselineEntry) handle(ctx context.Context, nc net.Conn) {
	defer e.pool.closeConn(nc)
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
		if !ok || e.execute(ctx, nc, start.Parameters["database"], q.String) != nil {
			return
		}
	}
}

// pickMember returns the primary for a write and a random replica for a read.
func (e *baselineEntry) pickMember(db, sql string) *baselineMember {
	if !strings.HasPrefix(sql, "SELECT") {
		return e.primary[db]
	}
	all := e.replicas[db]
	return all[rand.IntN(len(all))]
}

// execute runs one statement on a member and forwards the answer to the caller.
func (e *baselineEntry) execute(ctx context.Context, nc net.Conn, db, sql string) error {
	m := e.pickMember(db, sql)
	var c *simpleConn
	select {
	case c = <-m.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	out, err := rawQuery(c, sql)
	if err != nil {
		e.pool.closeConn(c.nc)
		if c, openErr := e.open(ctx, m); openErr == nil {
			m.idle <- c
		}
		return err
	}
	m.idle <- c
	_, err = nc.Write(out)
	return err
}

// rawQuery runs sql and returns the complete answer as it was received.
func rawQuery(c *simpleConn, sql string) ([]byte, error) {
	if err := c.send(sql); err != nil {
		return nil, err
	}
	var out []byte
	for {
		typ, body, err := c.frame()
		if err != nil {
			return nil, err
		}
		out = appendFrame(out, typ, body)
		if typ == 'Z' {
			return out, nil
		}
	}
}

func (n *baselinePool) track(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[nc] = struct{}{}
}

func (n *baselinePool) closeConn(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, nc)
	_ = nc.Close()
}

// close ends all connections and waits for the goroutines.
func (n *baselinePool) close() {
	n.cancel()
	for _, e := range n.entries {
		_ = e.listener.Close()
	}
	n.mu.Lock()
	for nc := range n.open {
		_ = nc.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *baselinePool) addrs() []string {
	var out []string
	for _, e := range n.entries {
		out = append(out, e.listener.Addr().String())
	}
	return out
}

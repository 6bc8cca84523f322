package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/pgctl"
	"tamarackcross/wire"
)

// DialFunc opens a connection to a backend server.
type DialFunc = pgctl.DialFunc

// Credentials are what an entry presents to the backend servers.
type Credentials struct {
	User     string
	Password string
}

// maxPrepared bounds the statements prepared on one backend connection.
const maxPrepared = 512

// backendConn is a connection to a backend server. It is used by one session
// at a time.
type backendConn struct {
	id       uint64 // unique among the connections of the member
	member   *member
	wc       *wire.Conn
	pid      uint32
	secret   []byte
	prepared map[string]struct{} // names of the statements prepared on it
	vars     string              // statement that set its session settings
	opened   time.Time
	used     time.Time
	// tainted is set when the state of the connection is in doubt or is not that
	// of a fresh one; such a connection is closed instead of pooled.
	tainted bool
	// cancelled is set when a cancel request was sent: it may still hit whatever
	// runs next on the connection.
	cancelled atomic.Bool
}

func (b *backendConn) knows(st *prepared) bool {
	_, ok := b.prepared[st.server]
	return ok
}

// learn records a statement as prepared. A connection with too many of them is
// closed after its use, which bounds the memory at the backend server.
func (b *backendConn) learn(st *prepared) {
	b.prepared[st.server] = struct{}{}
	if len(b.prepared) > maxPrepared {
		b.tainted = true
	}
}

func (b *backendConn) unlearn(st *prepared) { delete(b.prepared, st.server) }

// newBackendConn wraps a connection that pgctl.Connect opened.
func newBackendConn(m *member, h *pgconn.HijackedConn, now time.Time) *backendConn {
	return &backendConn{
		member:   m,
		wc:       wire.NewConn(h.Conn, wire.WithReadLimit(frameTimeout)),
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: make(map[string]struct{}),
		opened:   now,
		used:     now,
	}
}

func (b *backendConn) close() { _ = b.wc.Close() }

// cancel asks the backend server to cancel what runs on the connection.
func (b *backendConn) cancel(ctx context.Context) error {
	nc, err := b.member.dial(ctx, b.member.addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(deadline)
	}
	msg := &pgproto3.CancelRequest{ProcessID: b.pid, SecretKey: b.secret}
	buf, err := msg.Encode(nil)
	if err != nil {
		return err
	}
	_, err = nc.Write(buf)
	return err
}

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

// Credentials are the user and password of an entry at the backend servers.
type Credentials struct {
	User     string
	Password string
}

// maxPrepared limits the number of statements prepared on one backend connection.
const maxPrepared = 512

// backendConn is a connection to a backend server. It is used by one session
// at a time.
type backendConn struct {
	id       uint64 // unique among the connections of the member
	member   *member
	wire     *wire.Conn
	pid      uint32
	secret   []byte
	prepared map[string]struct{} // names of the statements prepared on it
	settings connSettings        // of the session that used it last
	opened   time.Time
	used     time.Time
	// tainted is set when the state of the connection is uncertain or differs from
	// that of a new one; the connection is then closed instead of reused.
	tainted bool
	// cancelled is set when a cancel request was sent. It may arrive late and cancel
	// the next statement on the connection.
	cancelled atomic.Bool
}

func (b *backendConn) hasPrepared(st *prepared) bool {
	_, ok := b.prepared[st.backendName]
	return ok
}

// addPrepared records a statement as prepared. A connection with too many prepared
// statements is closed after use, which limits the memory of the backend server.
func (b *backendConn) addPrepared(st *prepared) {
	b.prepared[st.backendName] = struct{}{}
	if len(b.prepared) > maxPrepared {
		b.tainted = true
	}
}

func (b *backendConn) removePrepared(st *prepared) { delete(b.prepared, st.backendName) }

// newBackendConn returns a backendConn over a connection opened by pgctl.Connect.
func newBackendConn(m *member, h *pgconn.HijackedConn, now time.Time) *backendConn {
	return &backendConn{
		member:   m,
		wire:     wire.NewConn(h.Conn, wire.WithReadTimeout(frameTimeout)),
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: make(map[string]struct{}),
		opened:   now,
		used:     now,
	}
}

func (b *backendConn) close() { _ = b.wire.Close() }

// cancel sends a cancel request for the statement that runs on the connection.
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

package entry

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"tamarackcross/wire"
)

// DialFunc opens a connection to a backend server or to another instance.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Credentials are what an entry presents to the backend servers.
type Credentials struct {
	User     string
	Password string
}

// controlUser is the role whose calls do not use slots.
const controlUser = "tamarackcross"

// maxPrepared bounds the statements prepared on one backend connection.
const maxPrepared = 512

// backendConn is a connection to a backend server. It is used by one session
// at a time.
type backendConn struct {
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

// connect opens a connection as user and hands it over in the idle state.
func connect(ctx context.Context, dial DialFunc, addr, database string, cred Credentials) (*pgconn.HijackedConn, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", addr)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", addr)
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable host=127.0.0.1 user=" + controlUser)
	if err != nil {
		return nil, eris.Wrap(err, "connection settings")
	}
	cfg.Host, cfg.Port, cfg.Database = host, uint16(port), database
	cfg.User, cfg.Password = cred.User, cred.Password
	cfg.Fallbacks = nil
	cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return pc.Hijack()
}

// newBackendConn wraps a connection that connect opened.
func newBackendConn(m *member, h *pgconn.HijackedConn, now time.Time) *backendConn {
	return &backendConn{
		member:   m,
		wc:       wire.NewConn(h.Conn),
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

// pgCode returns the SQLSTATE of an error of a backend server, or "".
func pgCode(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

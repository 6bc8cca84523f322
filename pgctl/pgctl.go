// Package pgctl calls the group functions of a backend server over the
// PostgreSQL protocol. The calls use no slot.
package pgctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

// User is the role that may call the group functions.
const User = "tamarackcross"

// DialFunc opens a connection to a backend server.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Target says where a backend server is and how to log in.
type Target struct {
	Addr     string
	Database string
	User     string
	Password string
}

// ErrNoAnswer is returned for an answer of an unexpected shape.
var ErrNoAnswer = eris.New("backend server gave an unexpected answer")

// Connect opens a connection and hands it over in the idle state.
func Connect(ctx context.Context, dial DialFunc, t Target) (*pgconn.HijackedConn, error) {
	host, portText, err := net.SplitHostPort(t.Addr)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", t.Addr)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", t.Addr)
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable host=127.0.0.1 user=" + User)
	if err != nil {
		return nil, eris.Wrap(err, "connection settings")
	}
	cfg.Host, cfg.Port, cfg.Database = host, uint16(port), t.Database
	cfg.User, cfg.Password = t.User, t.Password
	cfg.Fallbacks = nil
	cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return pc.Hijack()
}

// Conn is a connection of the control role.
type Conn struct {
	pc *pgconn.PgConn
}

// Dial opens a connection of the control role.
func Dial(ctx context.Context, dial DialFunc, t Target) (*Conn, error) {
	t.User = User
	h, err := Connect(ctx, dial, t)
	if err != nil {
		return nil, err
	}
	pc, err := pgconn.Construct(h)
	if err != nil {
		_ = h.Conn.Close()
		return nil, eris.Wrap(err, "control connection")
	}
	return &Conn{pc: pc}, nil
}

// Close ends the connection without waiting for the backend server, which may
// be unreachable.
func (c *Conn) Close() { _ = c.pc.Conn().Close() }

// Query runs one statement and returns its rows as text.
func (c *Conn) Query(ctx context.Context, sql string) ([][]string, error) {
	results, err := c.pc.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var out [][]string
	for _, r := range results {
		if r.Err != nil {
			return nil, r.Err
		}
		for _, row := range r.Rows {
			out = append(out, texts(row))
		}
	}
	return out, nil
}

func texts(row [][]byte) []string {
	out := make([]string, len(row))
	for i, v := range row {
		out[i] = string(v)
	}
	return out
}

// value runs a statement that answers with one value.
func (c *Conn) value(ctx context.Context, sql string) (string, error) {
	rows, err := c.Query(ctx, sql)
	if err != nil {
		return "", err
	}
	if len(rows) != 1 || len(rows[0]) == 0 {
		return "", ErrNoAnswer
	}
	return rows[0][0], nil
}

// Status is the answer of SHOW group_status.
type Status struct {
	Member     string
	Store      string
	Role       string
	Term       uint64
	FencedTerm uint64
	Held       group.Position
	Applied    group.Position
	Majority   group.Position
	History    group.History
}

// The roles that a status names.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
	RoleFenced  = "fenced"
)

// Status returns the state of the member.
func (c *Conn) Status(ctx context.Context) (Status, error) {
	rows, err := c.Query(ctx, "SHOW group_status")
	if err != nil {
		return Status{}, err
	}
	if len(rows) != 1 || len(rows[0]) != 9 {
		return Status{}, ErrNoAnswer
	}
	return parseStatus(rows[0])
}

func parseStatus(row []string) (Status, error) {
	s := Status{Member: row[0], Store: row[1], Role: row[2]}
	var errs [6]error
	s.Term, errs[0] = strconv.ParseUint(row[3], 10, 64)
	s.FencedTerm, errs[1] = strconv.ParseUint(row[4], 10, 64)
	s.Held, errs[2] = group.ParsePosition(row[5])
	s.Applied, errs[3] = group.ParsePosition(row[6])
	s.Majority, errs[4] = group.ParsePosition(row[7])
	s.History, errs[5] = group.ParseHistory(row[8])
	return s, errors.Join(errs[:]...)
}

// Report is one row of group_watch.
type Report struct {
	Member   string
	Held     group.Position
	Applied  group.Position
	Majority group.Position
}

// Watch waits at the primary until the majority-held position passes after.
func (c *Conn) Watch(ctx context.Context, after group.Position, limit time.Duration) ([]Report, error) {
	rows, err := c.Query(ctx, fmt.Sprintf("SELECT group_watch('%s', %d)", after, limit.Milliseconds()))
	if err != nil {
		return nil, err
	}
	out := make([]Report, 0, len(rows))
	for _, row := range rows {
		r, err := parseReport(row)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func parseReport(row []string) (Report, error) {
	if len(row) != 4 {
		return Report{}, ErrNoAnswer
	}
	r := Report{Member: row[0]}
	var errs [3]error
	r.Held, errs[0] = group.ParsePosition(row[1])
	r.Applied, errs[1] = group.ParsePosition(row[2])
	r.Majority, errs[2] = group.ParsePosition(row[3])
	return r, errors.Join(errs[:]...)
}

// Confirm reports whether a majority, asked after the call, holds offset in
// term and takes the member for its primary.
func (c *Conn) Confirm(ctx context.Context, term, offset uint64, limit time.Duration) (bool, error) {
	v, err := c.value(ctx, fmt.Sprintf("SELECT group_confirm(%d, %d, %d)", term, offset, limit.Milliseconds()))
	return v == "t", err
}

// Applied waits until the member has applied more than after and returns the
// position that it has applied.
func (c *Conn) Applied(ctx context.Context, after group.Position, limit time.Duration) (group.Position, error) {
	v, err := c.value(ctx, fmt.Sprintf("SELECT group_applied('%s', %d)", after, limit.Milliseconds()))
	if err != nil {
		return group.Position{}, err
	}
	return group.ParsePosition(v)
}

// Fence stops commits and replication of lower terms and returns the position
// that the member holds.
func (c *Conn) Fence(ctx context.Context, term uint64) (group.Position, error) {
	v, err := c.value(ctx, fmt.Sprintf("SELECT group_fence(%d)", term))
	if err != nil {
		return group.Position{}, err
	}
	return group.ParsePosition(v)
}

// Promote makes the member the primary of term.
func (c *Conn) Promote(ctx context.Context, term uint64, h group.History) error {
	_, err := c.value(ctx, fmt.Sprintf("SELECT group_promote(%d, '%s')", term, h))
	return err
}

// Follow makes the member replicate from the primary of term at addr. It
// returns the positions that the member discarded, as text.
func (c *Conn) Follow(ctx context.Context, term uint64, addr string) (string, error) {
	rows, err := c.Query(ctx, fmt.Sprintf("SELECT group_follow(%d, '%s')", term, addr))
	if err != nil {
		return "", err
	}
	if len(rows) != 1 || len(rows[0]) != 3 {
		return "", ErrNoAnswer
	}
	return rows[0][2], nil
}

// Code returns the SQLSTATE of an error of a backend server, or "".
func Code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

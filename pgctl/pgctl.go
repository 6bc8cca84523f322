// Package pgctl calls the SQL functions by which a backend server reports and
// changes its replication role (group_status, group_fence, group_promote, ...)
// over the PostgreSQL protocol. These calls need no slot.
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

// User is the database user that may call the group functions.
const User = "tamarackcross"

// DialFunc opens a connection to a backend server.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Target is the address of a backend server with the credentials for it.
type Target struct {
	Addr     string
	Database string
	User     string
	Password string
}

// ErrUnexpectedAnswer is returned if the number of rows or columns of an answer is not
// the expected one.
var ErrUnexpectedAnswer = eris.New("backend server gave an unexpected answer")

// Connect opens and authenticates a connection and returns it hijacked from
// pgconn, outside a transaction and with no query running.
func Connect(ctx context.Context, dial DialFunc, t Target) (*pgconn.HijackedConn, error) {
	host, portText, err := net.SplitHostPort(t.Addr)
	if err != nil {
		return nil, eris.Wrapf(err, "invalid backend server address %q", t.Addr)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, eris.Wrapf(err, "invalid backend server address %q", t.Addr)
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable host=127.0.0.1 user=" + User)
	if err != nil {
		return nil, eris.Wrap(err, "build connection settings")
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

// Conn is a control connection: a connection of User for calls of the group functions
// and for other statements of the proxy itself.
type Conn struct {
	pc *pgconn.PgConn
}

// Dial opens a control connection as User. It ignores the user of the target.
func Dial(ctx context.Context, dial DialFunc, t Target) (*Conn, error) {
	t.User = User
	h, err := Connect(ctx, dial, t)
	if err != nil {
		return nil, err
	}
	pc, err := pgconn.Construct(h)
	if err != nil {
		_ = h.Conn.Close()
		return nil, eris.Wrap(err, "set up connection for group functions")
	}
	return &Conn{pc: pc}, nil
}

// Close closes the connection without the closing message of the protocol, since
// the backend server may be unreachable.
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
			out = append(out, rowStrings(row))
		}
	}
	return out, nil
}

func rowStrings(row [][]byte) []string {
	out := make([]string, len(row))
	for i, v := range row {
		out[i] = string(v)
	}
	return out
}

// queryValue runs a statement that returns one row and returns its first column.
func (c *Conn) queryValue(ctx context.Context, sql string) (string, error) {
	rows, err := c.Query(ctx, sql)
	if err != nil {
		return "", err
	}
	if len(rows) != 1 || len(rows[0]) == 0 {
		return "", ErrUnexpectedAnswer
	}
	return rows[0][0], nil
}

// Status is the answer of SHOW group_status. Held is the last position that the
// member has received, Applied the last one that its reads see, and Majority the
// last one that the member knows a majority to hold. The member rejects commits and
// replication of terms below FencedTerm.
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

// Values of Status.Role.
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
		return Status{}, ErrUnexpectedAnswer
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

// MemberPositions is one row of group_watch: the positions of one member as the primary
// knows them.
type MemberPositions struct {
	Member   string
	Held     group.Position
	Applied  group.Position
	Majority group.Position
}

// Watch waits at the primary, for at most limit, until the position that a
// majority holds is past after. It returns the positions of each member.
func (c *Conn) Watch(ctx context.Context, after group.Position, limit time.Duration) ([]MemberPositions, error) {
	rows, err := c.Query(ctx, fmt.Sprintf("SELECT group_watch('%s', %d)", after, limit.Milliseconds()))
	if err != nil {
		return nil, err
	}
	out := make([]MemberPositions, 0, len(rows))
	for _, row := range rows {
		r, err := parseMemberPositions(row)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func parseMemberPositions(row []string) (MemberPositions, error) {
	if len(row) != 4 {
		return MemberPositions{}, ErrUnexpectedAnswer
	}
	r := MemberPositions{Member: row[0]}
	var errs [3]error
	r.Held, errs[0] = group.ParsePosition(row[1])
	r.Applied, errs[1] = group.ParsePosition(row[2])
	r.Majority, errs[2] = group.ParsePosition(row[3])
	return r, errors.Join(errs[:]...)
}

// Confirm reports whether a majority of the members holds offset in term and
// accepts this member as primary. The primary asks them after the call arrives,
// so that the result is no older than the call.
func (c *Conn) Confirm(ctx context.Context, term, offset uint64, limit time.Duration) (bool, error) {
	v, err := c.queryValue(ctx, fmt.Sprintf("SELECT group_confirm(%d, %d, %d)", term, offset, limit.Milliseconds()))
	return v == "t", err
}

// Applied waits, for at most limit, until the member has applied a position past
// after and returns the position that it has applied.
func (c *Conn) Applied(ctx context.Context, after group.Position, limit time.Duration) (group.Position, error) {
	v, err := c.queryValue(ctx, fmt.Sprintf("SELECT group_applied('%s', %d)", after, limit.Milliseconds()))
	if err != nil {
		return group.Position{}, err
	}
	return group.ParsePosition(v)
}

// Fence makes the member reject commits and replication of terms lower than term
// and returns the position that the member holds.
func (c *Conn) Fence(ctx context.Context, term uint64) (group.Position, error) {
	v, err := c.queryValue(ctx, fmt.Sprintf("SELECT group_fence(%d)", term))
	if err != nil {
		return group.Position{}, err
	}
	return group.ParsePosition(v)
}

// Promote makes the member the primary of term.
func (c *Conn) Promote(ctx context.Context, term uint64, h group.History) error {
	_, err := c.queryValue(ctx, fmt.Sprintf("SELECT group_promote(%d, '%s')", term, h))
	return err
}

// Follow makes the member replicate from the primary of term at addr. It returns
// the positions that the member discarded because they are not part of the
// history of that primary, in their text form.
func (c *Conn) Follow(ctx context.Context, term uint64, addr string) (string, error) {
	rows, err := c.Query(ctx, fmt.Sprintf("SELECT group_follow(%d, '%s')", term, addr))
	if err != nil {
		return "", err
	}
	if len(rows) != 1 || len(rows[0]) != 3 {
		return "", ErrUnexpectedAnswer
	}
	return rows[0][2], nil
}

// SQLState returns the SQLSTATE of an error that a backend server sent, or "" for
// any other error.
func SQLState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

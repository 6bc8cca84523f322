package site_test

import (
	"context"
	"errors"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// Outcomes of a request (section 4 of the design).
const (
	done    = "done"
	notRun  = "not_run"
	unknown = "unknown"
)

// answer is what a caller learned about a request.
type answer struct {
	rows    string // one line per row
	outcome string
	reason  string
	text    string
	broken  bool // the connection ended without an answer
}

// String returns the rows and the outcome with its reason.
func (a answer) String() string {
	out := a.outcome
	if a.reason != "" {
		out += " reason=" + a.reason
	}
	if a.rows != "" {
		out = a.rows + "\n" + out
	}
	return out
}

// failed reads the outcome of an error. An error without an outcome that comes
// from the backend server is named by its SQLSTATE.
func failed(err error) answer {
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return answer{outcome: unknown, reason: "connection", text: err.Error(), broken: true}
	}
	a := answer{outcome: "error " + pe.Code, text: pe.Message}
	for field := range strings.FieldsSeq(pe.Detail) {
		if v, ok := strings.CutPrefix(field, "outcome="); ok {
			a.outcome = v
		}
		if v, ok := strings.CutPrefix(field, "reason="); ok {
			a.reason = v
		}
	}
	return a
}

// caller is a connection of an application.
type caller struct {
	name  string
	from  string // zone
	entry int
	token string
	conn  *pgconn.PgConn
}

func (c *caller) connect(ctx context.Context, s *scene) answer {
	cfg, err := pgconn.ParseConfig("postgres://app@" + s.addrs[c.entry] + "/" + database + "?sslmode=disable")
	if err != nil {
		return failed(err)
	}
	dial := s.site.Network().Dialer(c.name, c.from)
	cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
	if c.token != "" {
		cfg.RuntimeParams["tamarackcross.token"] = c.token
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return failed(err)
	}
	c.conn = conn
	return answer{outcome: done}
}

// exec runs a simple query and keeps the token that came with its answer.
func (c *caller) exec(ctx context.Context, sql string) answer {
	if c.conn == nil {
		return answer{outcome: notRun, reason: "not_connected"}
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if token := c.conn.ParameterStatus("tamarackcross.token"); token != "" {
		c.token = token
	}
	if err != nil {
		return failed(err)
	}
	a := answer{outcome: done}
	var rows []string
	for _, r := range results {
		for _, row := range r.Rows {
			var cols []string
			for _, col := range row {
				cols = append(cols, string(col))
			}
			rows = append(rows, strings.Join(cols, " "))
		}
	}
	a.rows = strings.Join(rows, "\n")
	return a
}

func (c *caller) close() {
	if c != nil && c.conn != nil {
		_ = c.conn.Conn().Close()
	}
}

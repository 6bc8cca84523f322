package site_test

import (
	"context"
	"errors"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// Outcomes of a request, as the error detail of an entry names them.
const (
	done    = "done"
	notRun  = "not_run"
	unknown = "unknown"
)

// answer is the result of a request as the caller sees it.
type answer struct {
	rows       string // one line per row
	outcome    string
	reason     string
	text       string
	unanswered bool // the connection failed before an answer
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

// errorAnswer returns the outcome that an error reports. The outcome of an error of
// the backend server, which reports none, is "error" with its SQLSTATE.
func errorAnswer(err error) answer {
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return answer{outcome: unknown, reason: "connection", text: err.Error(), unanswered: true}
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

// caller is an application with at most one connection, and its session token.
type caller struct {
	name  string
	zone  string
	entry int
	token string
	conn  *pgconn.PgConn
}

func (c *caller) connect(ctx context.Context, s *scenario) answer {
	cfg, err := pgconn.ParseConfig("postgres://app@" + s.addrs[c.entry] + "/" + database + "?sslmode=disable")
	if err != nil {
		return errorAnswer(err)
	}
	dial := s.site.Network().Dialer(c.name, c.zone)
	cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
	if c.token != "" {
		cfg.RuntimeParams["tamarackcross.token"] = c.token
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return errorAnswer(err)
	}
	c.conn = conn
	return answer{outcome: done}
}

// exec runs a simple query and stores the session token that the entry reports.
func (c *caller) exec(ctx context.Context, sql string) answer {
	if c.conn == nil {
		return answer{outcome: notRun, reason: "not_connected"}
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if token := c.conn.ParameterStatus("tamarackcross.token"); token != "" {
		c.token = token
	}
	if err != nil {
		return errorAnswer(err)
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

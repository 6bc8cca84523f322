package emul_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5"

	"tamarackcross/emul"
)

// scriptRunner runs the commands of a script against one group.
type scriptRunner struct {
	t     *testing.T
	ctx   context.Context
	g     *emul.Group
	conns map[string]*pgx.Conn
}

// TestScripts guards against statements that return a wrong result, SQLSTATE or
// position, and against promotions that lose entries or restore discarded ones.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scriptRunner{t: t, ctx: t.Context(), conns: make(map[string]*pgx.Conn)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.run(d)
		})
	})
}

func (s *scriptRunner) run(d *datadriven.TestData) string {
	if s.g == nil {
		n := 1
		d.MaybeScanArgs(s.t, "members", &n)
		s.g = startGroup(s.t, n)
		return ""
	}
	member := 1
	d.MaybeScanArgs(s.t, "m", &member)
	session := "1"
	d.MaybeScanArgs(s.t, "s", &session)
	switch d.Cmd {
	case "sql":
		return s.simpleQueries(s.conn("app", session, member), d.Input)
	case "control":
		return s.simpleQueries(s.conn("tamarackcross", session, member), s.expand(d.Input))
	case "wait":
		s.wait(d, member)
		return ""
	case "position":
		return s.conn("app", session, member).PgConn().ParameterStatus("group_position")
	case "status":
		return s.status()
	case "stop":
		s.stop(member)
		return ""
	case "start":
		if err := s.g.Servers()[member-1].Start(s.ctx); err != nil {
			s.t.Fatal(err)
		}
		return ""
	}
	d.Fatalf(s.t, "unknown command %s", d.Cmd)
	return ""
}

// stop stops a member and drops the connections to it.
func (s *scriptRunner) stop(member int) {
	if err := s.g.Servers()[member-1].Stop(); err != nil {
		s.t.Fatal(err)
	}
	for key := range s.conns {
		if strings.HasSuffix(key, fmt.Sprint("@", member)) {
			delete(s.conns, key)
		}
	}
}

// status returns what each member reports, without its random store identity.
func (s *scriptRunner) status() string {
	var out strings.Builder
	for _, srv := range s.g.Servers() {
		st := srv.Member().Status()
		fmt.Fprintf(&out, "%s %s term=%d fenced=%d held=%s applied=%s history=%s discarded=%v\n",
			st.Member, st.Role, st.Term, st.FencedTerm, st.Held, st.Applied, st.History, srv.Member().Discarded())
	}
	return out.String()
}

// wait returns once the primary knows that every member has applied the given
// position.
func (s *scriptRunner) wait(d *datadriven.TestData, member int) {
	var position string
	d.ScanArgs(s.t, "applied", &position)
	c := s.conn("tamarackcross", "wait", member)
	eventually(s.t, func() bool {
		result := c.PgConn().ExecParams(testContext(s.t), "SELECT group_watch(0, 5)", nil, nil, nil, nil).Read()
		n := 0
		for _, row := range result.Rows {
			if string(row[2]) == position {
				n++
			}
		}
		return n == len(s.g.Servers())
	})
}

func (s *scriptRunner) conn(user, session string, member int) *pgx.Conn {
	key := fmt.Sprint(user, session, "@", member)
	if s.conns[key] == nil {
		s.conns[key] = connect(s.t, user, s.g.Addr(member-1))
	}
	return s.conns[key]
}

// expand replaces $ADDRn with the address of member n.
func (s *scriptRunner) expand(sql string) string {
	for i := range s.g.Servers() {
		sql = strings.ReplaceAll(sql, fmt.Sprintf("$ADDR%d", i+1), s.g.Addr(i))
	}
	return sql
}

// simpleQueries runs each line of input as a simple query.
func (s *scriptRunner) simpleQueries(c *pgx.Conn, input string) string {
	var out strings.Builder
	for sql := range strings.SplitSeq(input, "\n") {
		results, err := c.PgConn().Exec(testContext(s.t), sql).ReadAll()
		for _, r := range results {
			for _, row := range r.Rows {
				fmt.Fprintf(&out, "%s\n", strings.Join(textRow(row), " "))
			}
			if r.Err == nil {
				fmt.Fprintf(&out, "%s\n", r.CommandTag)
			}
		}
		if err != nil {
			fmt.Fprintf(&out, "error %s\n", sqlStateOf(err))
		}
	}
	return out.String()
}

func textRow(values [][]byte) []string {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = string(v)
		if row[i] == "" {
			row[i] = "''"
		}
	}
	return row
}

package emul

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// replicationConn is the connection of a replica to its primary.
type replicationConn struct {
	c  *conn
	fe *pgproto3.Frontend
}

// openReplication connects to a primary with the role for replication.
func (m *Member) openReplication(ctx context.Context, addr string) (*replicationConn, error) {
	limited, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	nc, err := m.dial(limited, addr)
	if err != nil {
		return nil, eris.Wrap(err, "connect to the primary")
	}
	c, ok := m.trackConn(ctx, nc)
	if !ok {
		return nil, ctx.Err()
	}
	r := &replicationConn{c: c, fe: pgproto3.NewFrontend(c, c)}
	r.fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": replicatorUser, "database": m.database},
	})
	if _, err := r.exchange(ctx); err != nil {
		m.closeConn(c)
		return nil, err
	}
	return r, nil
}

// query runs one statement and returns its rows.
func (r *replicationConn) query(ctx context.Context, sql string) ([][]string, error) {
	r.fe.Send(&pgproto3.Query{String: sql})
	return r.exchange(ctx)
}

// exchange sends the buffered messages and reads until ReadyForQuery. It closes the
// connection if the primary does not answer in time or ctx ends.
func (r *replicationConn) exchange(ctx context.Context) ([][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchWait+fetchAnswerMargin)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { r.c.Close() })
	defer stop()
	if err := r.fe.Flush(); err != nil {
		return nil, eris.Wrap(err, "write to the primary")
	}
	var rows [][]string
	var failure error
	for {
		msg, err := r.fe.Receive()
		if err != nil {
			return nil, eris.Wrap(err, "read from the primary")
		}
		switch msg := msg.(type) {
		case *pgproto3.DataRow:
			rows = append(rows, textRow(msg.Values))
		case *pgproto3.ErrorResponse:
			failure = &Error{msg.Code, msg.Message}
			if msg.Severity == "FATAL" {
				return nil, failure
			}
		case *pgproto3.ReadyForQuery:
			return rows, failure
		}
	}
}

func textRow(values [][]byte) []string {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = string(v)
	}
	return row
}

// quote returns text as an SQL string literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

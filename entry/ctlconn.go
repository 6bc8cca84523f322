package entry

import (
	"context"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

// controlConn is a connection of the control role. Its calls use no slot.
type controlConn struct {
	pc *pgconn.PgConn
}

func dialControl(ctx context.Context, dial DialFunc, addr, database, password string) (*controlConn, error) {
	h, err := connect(ctx, dial, addr, database, Credentials{User: controlUser, Password: password})
	if err != nil {
		return nil, err
	}
	pc, err := pgconn.Construct(h)
	if err != nil {
		_ = h.Conn.Close()
		return nil, eris.Wrap(err, "control connection")
	}
	return &controlConn{pc: pc}, nil
}

// query runs one statement and returns its rows as text.
func (c *controlConn) query(ctx context.Context, sql string) ([][]string, error) {
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

// close ends the connection without waiting for the backend server, which may
// be unreachable.
func (c *controlConn) close() { _ = c.pc.Conn().Close() }

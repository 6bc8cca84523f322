package meas

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/emul"
)

var errNoReplica = eris.New("database has no replica")

const rowPollInterval = 5 * time.Millisecond // between lookups of a row

// execOK runs sql and returns an error also if the answer is one.
func execOK(c *simpleConn, sql string) error {
	a, err := c.query(sql)
	if err == nil && a.sqlState != "" {
		err = eris.Errorf("%s: %s %s", sql, a.sqlState, a.detail)
	}
	return err
}

// awaitRow waits until a member has applied a row.
func awaitRow(ctx context.Context, m *emul.Member, table, key string) error {
	for {
		if _, ok := m.Value(table, key); ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(rowPollInterval):
		}
	}
}

package meas

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/emul"
)

var errNoReplica = eris.New("database has no replica")

const rowPoll = 5 * time.Millisecond // between looks for a row

// mustQuery runs sql and makes any refusal an error.
func mustQuery(l *line, sql string) error {
	a, err := l.query(sql)
	if err == nil && a.state != "" {
		err = eris.Errorf("%s: %s %s", sql, a.state, a.detail)
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
		case <-time.After(rowPoll):
		}
	}
}

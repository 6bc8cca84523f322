package meas

import (
	"context"
	"errors"
	"net"
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"tamarackcross/emul"
	"tamarackcross/errs"
)

// dialer opens a TCP connection of a caller.
type dialer func(ctx context.Context, addr string) (net.Conn, error)

func callerDialer(n *emul.Network, name string) dialer { return dialer(n.Dialer(name, callerZone)) }

// connect opens a caller connection with pgx. extra holds further URL parameters,
// each with a leading "&".
func connect(ctx context.Context, dial dialer, addr, database, extra string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://app@" + addr + "/" + database + "?sslmode=disable" + extra)
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
	cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	return pgx.ConnectConfig(ctx, cfg)
}

// outcomeOf returns the outcome and the reason in an error of an entry. The outcome
// of an error without them, such as a failed connection, is unknown.
func outcomeOf(err error) (errs.Outcome, errs.Reason) {
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return errs.Unknown, ""
	}
	return outcomeIn(pe.Detail)
}

// outcomeIn returns the outcome and the reason in the detail field of an error.
func outcomeIn(detail string) (errs.Outcome, errs.Reason) {
	outcome, reason := errs.Unknown, errs.Reason("")
	for field := range strings.FieldsSeq(detail) {
		if v, ok := strings.CutPrefix(field, "outcome="); ok {
			outcome = errs.Outcome(v)
		}
		if v, ok := strings.CutPrefix(field, "reason="); ok {
			reason = errs.Reason(v)
		}
	}
	return outcome, reason
}

package meas

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

const (
	lineBuffer     = 1 << 10 // bytes read at once from a connection
	lineFrameLimit = 1 << 16 // bytes of one message
	frameHeader    = 5       // bytes of type and length
	tokenSetting   = "tamarackcross.token"
)

var errLineFrame = eris.New("message length is invalid")

// line is a connection that speaks just the simple query protocol. A driver
// would take more CPU time than the entry under test.
type line struct {
	nc    net.Conn
	r     *bufio.Reader
	out   []byte
	body  []byte
	token string // newest session token that the entry reported
}

// param is one startup parameter.
type param struct{ name, value string }

// openLine connects and completes the startup.
func openLine(ctx context.Context, dial dialer, addr, database string, params ...param) (*line, error) {
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	l := &line{nc: nc, r: bufio.NewReaderSize(nc, lineBuffer)}
	if err := l.startup(ctx, database, params); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return l, nil
}

func (l *line) startup(ctx context.Context, database string, params []param) error {
	if t, ok := ctx.Deadline(); ok {
		_ = l.nc.SetDeadline(t)
		defer func() { _ = l.nc.SetDeadline(time.Time{}) }()
	}
	b, err := startupMessage(database, params)
	if err != nil {
		return err
	}
	if _, err := l.nc.Write(b); err != nil {
		return err
	}
	a, err := l.answer()
	if err == nil && a.state != "" {
		err = eris.Errorf("startup refused: %s %s", a.state, a.detail)
	}
	return err
}

func startupMessage(database string, params []param) ([]byte, error) {
	m := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "app", "database": database},
	}
	for _, p := range params {
		m.Parameters[p.name] = p.value
	}
	return m.Encode(nil)
}

func appendFrame(b []byte, typ byte, body []byte) []byte {
	b = append(b, typ)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+frameHeader-1))
	return append(b, body...)
}

// answer is what a simple query returned.
type answer struct {
	value  string // first column of the last row
	found  bool   // there was a row
	state  string // SQLSTATE, empty without an error
	detail string
}

// query sends sql and waits for the whole answer. An error means that the
// connection is of no more use.
func (l *line) query(sql string) (answer, error) {
	if err := l.send(sql); err != nil {
		return answer{}, err
	}
	return l.answer()
}

func (l *line) send(sql string) error {
	l.out = appendQuery(l.out[:0], sql)
	_, err := l.nc.Write(l.out)
	return err
}

func appendQuery(b []byte, sql string) []byte {
	b = append(b, 'Q')
	b = binary.BigEndian.AppendUint32(b, uint32(len(sql)+frameHeader))
	b = append(b, sql...)
	return append(b, 0)
}

// answer reads messages up to ReadyForQuery, or to the error that ends the
// connection.
func (l *line) answer() (answer, error) {
	var a answer
	for {
		typ, body, err := l.frame()
		if err != nil {
			return a, err
		}
		switch typ {
		case 'D':
			a.value, a.found = firstColumn(body), true
		case 'E':
			a.state, a.detail = errorFields(body)
		case 'S':
			l.parameter(body)
		case 'Z':
			return a, nil
		}
	}
}

// frame reads one message. Its body is valid until the next call.
func (l *line) frame() (byte, []byte, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(l.r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > lineFrameLimit {
		return 0, nil, errLineFrame
	}
	if cap(l.body) < n {
		l.body = make([]byte, n)
	}
	l.body = l.body[:n]
	_, err := io.ReadFull(l.r, l.body)
	return head[0], l.body, err
}

func (l *line) parameter(body []byte) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if ok && string(name) == tokenSetting {
		l.token = strings.TrimRight(string(rest), "\x00")
	}
}

func (l *line) close() { _ = l.nc.Close() }

func firstColumn(body []byte) string {
	if len(body) < 6 {
		return ""
	}
	n := int32(binary.BigEndian.Uint32(body[2:]))
	if n < 0 || int(n) > len(body)-6 {
		return ""
	}
	return string(body[6 : 6+n])
}

// errorFields returns the SQLSTATE and the detail of an ErrorResponse.
func errorFields(body []byte) (state, detail string) {
	for len(body) > 1 {
		typ := body[0]
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			break
		}
		switch typ {
		case 'C':
			state = string(value)
		case 'D':
			detail = string(value)
		}
		body = rest
	}
	return state, detail
}

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
	readBufferBytes = 1 << 10 // read buffer of a connection
	maxFrameBytes   = 1 << 16 // greatest body of a message
	frameHeader     = 5       // bytes of type and length before the body
	tokenSetting    = "tamarackcross.token"
)

var errFrameLength = eris.New("message length is negative or above the limit of the measuring client")

// simpleConn is a minimal client connection for the simple query protocol. A full
// driver would take more CPU time than the entry under test.
type simpleConn struct {
	nc       net.Conn
	reader   *bufio.Reader
	writeBuf []byte
	frameBuf []byte
	token    string // newest session token that the entry reported
}

// param is one startup parameter.
type param struct{ name, value string }

// openConn connects to addr and completes the startup.
func openConn(ctx context.Context, dial dialer, addr, database string, params ...param) (*simpleConn, error) {
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &simpleConn{nc: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}
	if err := c.startup(ctx, database, params); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

func (c *simpleConn) startup(ctx context.Context, database string, params []param) error {
	if t, ok := ctx.Deadline(); ok {
		_ = c.nc.SetDeadline(t)
		defer func() { _ = c.nc.SetDeadline(time.Time{}) }()
	}
	b, err := startupMessage(database, params)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(b); err != nil {
		return err
	}
	a, err := c.answer()
	if err == nil && a.sqlState != "" {
		err = eris.Errorf("startup was answered with an error: %s %s", a.sqlState, a.detail)
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

// answer is the result of a simple query.
type answer struct {
	value    string // first column of the last row
	hasRow   bool
	sqlState string // empty without an error
	detail   string
}

// query sends sql and waits for the complete answer. After an error the connection
// can't be used any more.
func (c *simpleConn) query(sql string) (answer, error) {
	if err := c.send(sql); err != nil {
		return answer{}, err
	}
	return c.answer()
}

func (c *simpleConn) send(sql string) error {
	c.writeBuf = appendQuery(c.writeBuf[:0], sql)
	_, err := c.nc.Write(c.writeBuf)
	return err
}

func appendQuery(b []byte, sql string) []byte {
	b = append(b, 'Q')
	b = binary.BigEndian.AppendUint32(b, uint32(len(sql)+frameHeader))
	b = append(b, sql...)
	return append(b, 0)
}

// answer reads messages up to ReadyForQuery. It fails if the connection ends before.
func (c *simpleConn) answer() (answer, error) {
	var a answer
	for {
		typ, body, err := c.frame()
		if err != nil && a.sqlState != "" {
			return a, eris.Wrapf(err, "%s %s", a.sqlState, a.detail)
		}
		if err != nil {
			return a, err
		}
		switch typ {
		case 'D':
			a.value, a.hasRow = firstColumn(body), true
		case 'E':
			a.sqlState, a.detail = errorFields(body)
		case 'S':
			c.parameter(body)
		case 'Z':
			return a, nil
		}
	}
}

// frame reads one message. The returned body is valid until the next call.
func (c *simpleConn) frame() (byte, []byte, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > maxFrameBytes {
		return 0, nil, errFrameLength
	}
	if cap(c.frameBuf) < n {
		c.frameBuf = make([]byte, n)
	}
	c.frameBuf = c.frameBuf[:n]
	_, err := io.ReadFull(c.reader, c.frameBuf)
	return head[0], c.frameBuf, err
}

func (c *simpleConn) parameter(body []byte) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if ok && string(name) == tokenSetting {
		c.token = strings.TrimRight(string(rest), "\x00")
	}
}

func (c *simpleConn) close() { _ = c.nc.Close() }

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

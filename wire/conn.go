// Package wire reads and writes messages of the PostgreSQL protocol as frames
// of bounded size. Frames pass through the proxy without being decoded; the
// messages that matter to it are decoded and encoded by pgproto3.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

const (
	// DefaultMaxFrame is the largest message body read from a peer, in bytes.
	DefaultMaxFrame = 16 << 20

	maxStartup = 10_000   // bytes, as in PostgreSQL
	bufferSize = 8 << 10  // bytes of a pooled buffer
	keepBody   = 64 << 10 // bytes; a larger body buffer is not kept
	writePiece = 64 << 10 // bytes that the peer must take within the write limit
	headerLen  = 5        // type byte and length
	lengthLen  = 4        // the length counts itself
)

// Errors of the frame layer.
var (
	ErrTooLarge = eris.New("message is over the size limit")
	ErrBadFrame = eris.New("message length is invalid")
)

// Frame is one message: its type byte and its body without the length.
type Frame struct {
	Type byte
	Body []byte
}

// Conn reads and writes frames on a connection. Buffers come from a pool and
// are held only while the connection is in use. A Conn is not safe for
// concurrent use.
type Conn struct {
	nc      net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	body    []byte
	scratch []byte
	discard int // bytes of the last frame still in r
	max     int

	readLimit  time.Duration // longest wait for the next bytes, or 0
	writeLimit time.Duration // longest wait for the peer to take some bytes, or 0
}

// Option configures a Conn.
type Option func(*Conn)

// WithMaxFrame limits the body of each frame read, in bytes.
func WithMaxFrame(n int) Option { return func(c *Conn) { c.max = n } }

// WithReadLimit bounds the wait for the next bytes of a frame. WaitReadable has
// a deadline of its own.
func WithReadLimit(d time.Duration) Option { return func(c *Conn) { c.readLimit = d } }

// NewConn returns a Conn over nc.
func NewConn(nc net.Conn, opts ...Option) *Conn {
	c := &Conn{nc: nc, max: DefaultMaxFrame}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.nc }

// Close closes the connection and returns its buffers.
func (c *Conn) Close() error {
	err := c.nc.Close()
	c.dropReader()
	c.dropWriter()
	return err
}

// SetReadDeadline bounds the reads that follow; the zero time lifts the bound.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.nc.SetReadDeadline(t) }

// SetWriteDeadline bounds the writes that follow.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.nc.SetWriteDeadline(t) }

// LimitWrites bounds each wait for the peer to take bytes. The limit starts
// anew whenever some were taken, so a slow reader is not cut off.
func (c *Conn) LimitWrites(d time.Duration) { c.writeLimit = d }

// LimitFrames changes the limit of the body of each frame read, in bytes.
func (c *Conn) LimitFrames(n int) { c.max = n }

// HasFrame reports whether a whole frame that was received waits to be read.
func (c *Conn) HasFrame() bool {
	c.skip()
	if c.r == nil || c.r.Buffered() < headerLen {
		return false
	}
	head, err := c.r.Peek(headerLen)
	return err == nil && uint64(c.r.Buffered()) > uint64(binary.BigEndian.Uint32(head[1:]))
}

// limited is the connection below a Conn with the limits of the Conn.
type limited Conn

// Read reads from the connection within the read limit.
func (l *limited) Read(b []byte) (int, error) {
	if l.readLimit > 0 {
		if err := l.nc.SetReadDeadline(time.Now().Add(l.readLimit)); err != nil {
			return 0, err
		}
	}
	return l.nc.Read(b)
}

// Write writes in pieces, each within the write limit.
func (l *limited) Write(b []byte) (int, error) {
	if l.writeLimit == 0 {
		return l.nc.Write(b)
	}
	done := 0
	for done < len(b) {
		if err := l.nc.SetWriteDeadline(time.Now().Add(l.writeLimit)); err != nil {
			return done, err
		}
		n, err := l.nc.Write(b[done:min(len(b), done+writePiece)])
		done += n
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// Buffered reports whether bytes that were received wait to be read.
func (c *Conn) Buffered() bool { return c.r != nil && c.r.Buffered() > c.discard }

// Idle returns the buffers to the pool if nothing is in them. Call it before
// a wait of unknown length, so that an idle connection costs little memory.
func (c *Conn) Idle() {
	c.skip()
	if c.r != nil && c.r.Buffered() == 0 {
		c.dropReader()
	}
	if c.w != nil && c.w.Buffered() == 0 {
		c.dropWriter()
	}
	if cap(c.body) > 0 {
		c.body = nil
	}
	c.scratch = nil
}

func (c *Conn) dropReader() {
	if c.r != nil {
		c.r.Reset(nil)
		readers.Put(c.r)
		c.r, c.discard = nil, 0
	}
}

func (c *Conn) dropWriter() {
	if c.w != nil {
		c.w.Reset(nil)
		writers.Put(c.w)
		c.w = nil
	}
}

func (c *Conn) skip() {
	if c.discard > 0 {
		_, _ = c.r.Discard(c.discard)
		c.discard = 0
	}
}

// WaitReadable waits until bytes are there to read. After a timeout the
// connection can be used as before.
func (c *Conn) WaitReadable(deadline time.Time) error {
	c.skip()
	if c.r == nil {
		c.r = readers.Get().(*bufio.Reader)
		c.r.Reset((*limited)(c))
	}
	if c.r.Buffered() > 0 {
		return nil
	}
	limit := c.readLimit
	c.readLimit = 0
	defer func() { c.readLimit = limit }()
	if err := c.nc.SetReadDeadline(deadline); err != nil {
		return err
	}
	_, err := c.r.Peek(1)
	return err
}

// ReadStartup reads the first message of a connection, which has no type byte.
func (c *Conn) ReadStartup() ([]byte, error) {
	var length [lengthLen]byte
	if _, err := io.ReadFull(c.nc, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n < lengthLen+4 || n > maxStartup {
		return nil, ErrBadFrame
	}
	body := make([]byte, n-lengthLen)
	if _, err := io.ReadFull(c.nc, body); err != nil {
		return nil, err
	}
	return body, nil
}

// ReadFrame reads the next frame. Its body is valid until the next call.
func (c *Conn) ReadFrame() (Frame, error) {
	typ, n, err := c.readHeader()
	if err != nil {
		return Frame{}, err
	}
	if n > c.max {
		return Frame{Type: typ}, ErrTooLarge
	}
	body, err := c.readBody(n)
	return Frame{Type: typ, Body: body}, err
}

// Relay reads the next frame. A frame over limit bytes goes straight to dst in
// pieces and comes back without its body and with relayed set.
func (c *Conn) Relay(dst *Conn, limit int) (f Frame, relayed bool, err error) {
	typ, n, err := c.readHeader()
	if err != nil {
		return Frame{}, false, err
	}
	if n <= limit {
		body, err := c.readBody(n)
		return Frame{Type: typ, Body: body}, false, err
	}
	if err := dst.writeHeader(typ, n); err != nil {
		return Frame{}, false, err
	}
	if _, err := io.CopyN(dst.w, c.r, int64(n)); err != nil {
		return Frame{}, true, err
	}
	return Frame{Type: typ}, true, nil
}

// readHeader reads the type and the body length. While no buffer is held it
// waits on a single byte, so that an idle connection holds none.
func (c *Conn) readHeader() (byte, int, error) {
	c.skip()
	if c.r == nil {
		var first [1]byte
		if _, err := io.ReadFull(c.nc, first[:]); err != nil {
			return 0, 0, err
		}
		c.r = readers.Get().(*bufio.Reader)
		c.r.Reset((*limited)(c))
		return c.readLength(first[0])
	}
	typ, err := c.r.ReadByte()
	if err != nil {
		return 0, 0, err
	}
	return c.readLength(typ)
}

func (c *Conn) readLength(typ byte) (byte, int, error) {
	length, err := c.r.Peek(lengthLen)
	if err != nil {
		return 0, 0, noEOF(err)
	}
	n := binary.BigEndian.Uint32(length)
	_, _ = c.r.Discard(lengthLen)
	if n < lengthLen || n > 1<<30 {
		return 0, 0, ErrBadFrame
	}
	return typ, int(n) - lengthLen, nil
}

func (c *Conn) readBody(n int) ([]byte, error) {
	if n <= bufferSize {
		body, err := c.r.Peek(n)
		if err != nil {
			return nil, noEOF(err)
		}
		c.discard = n
		return body, nil
	}
	if n > keepBody {
		return c.readLarge(n)
	}
	if cap(c.body) < n {
		c.body = make([]byte, n)
	}
	body := c.body[:n]
	if _, err := io.ReadFull(c.r, body); err != nil {
		return nil, noEOF(err)
	}
	return body, nil
}

// readLarge grows the body as its bytes come, so that a length alone does not
// take the memory.
func (c *Conn) readLarge(n int) ([]byte, error) {
	var body bytes.Buffer
	if _, err := io.CopyN(&body, c.r, int64(n)); err != nil {
		return nil, noEOF(err)
	}
	return body.Bytes(), nil
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (c *Conn) writer() *bufio.Writer {
	if c.w == nil {
		c.w = writers.Get().(*bufio.Writer)
		c.w.Reset((*limited)(c))
	}
	return c.w
}

func (c *Conn) writeHeader(typ byte, n int) error {
	var head [headerLen]byte
	head[0] = typ
	binary.BigEndian.PutUint32(head[1:], uint32(n+lengthLen))
	_, err := c.writer().Write(head[:])
	return err
}

// WriteFrame buffers a frame.
func (c *Conn) WriteFrame(f Frame) error {
	if err := c.writeHeader(f.Type, len(f.Body)); err != nil {
		return err
	}
	_, err := c.w.Write(f.Body)
	return err
}

// WriteRaw buffers bytes that are already framed, such as the answer to an
// SSLRequest.
func (c *Conn) WriteRaw(b []byte) error {
	_, err := c.writer().Write(b)
	return err
}

// Send buffers a message.
func (c *Conn) Send(msgs ...pgproto3.Message) error {
	for _, m := range msgs {
		buf, err := m.Encode(c.scratch[:0])
		if err != nil {
			return err
		}
		c.scratch = buf
		if _, err := c.writer().Write(buf); err != nil {
			return err
		}
	}
	return nil
}

// Flush writes what is buffered.
func (c *Conn) Flush() error {
	if c.w == nil {
		return nil
	}
	return c.w.Flush()
}

// Package wire reads and writes messages of the PostgreSQL protocol as frames of
// limited size. It does not decode their bodies: the proxy relays most frames as they
// are and uses pgproto3 for the messages that concern it.
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
	// DefaultMaxFrame is the default limit of the body of a frame, in bytes.
	DefaultMaxFrame = 16 << 20

	maxStartupLen = 10_000   // bytes, the limit of PostgreSQL
	bufferSize    = 8 << 10  // bytes of a pooled buffer
	maxKeptBody   = 64 << 10 // bytes; a buffer for a larger body is not reused
	writeChunk    = 64 << 10 // bytes that the peer must accept within the write timeout
	headerLen     = 5        // type byte and length
	lengthLen     = 4        // the length field, which includes itself
)

// Errors of frames that are refused.
var (
	ErrTooLarge = eris.New("message is over the size limit")
	ErrBadFrame = eris.New("message length is invalid")
)

// Frame is one message: its type byte and its body without the length.
type Frame struct {
	Type byte
	Body []byte
}

// Conn reads and writes frames on a connection. It takes its buffers from a pool and
// can return them while the connection is idle. A Conn is not safe for concurrent use.
type Conn struct {
	nc         net.Conn
	r          *bufio.Reader
	w          *bufio.Writer
	body       []byte
	encodeBuf  []byte
	unreadBody int // bytes of the last body that r still buffers
	maxFrame   int

	readTimeout  time.Duration // for the wait for the next bytes, 0 for none
	writeTimeout time.Duration // for the wait until the peer accepts a chunk, 0 for none
}

// Option configures a Conn.
type Option func(*Conn)

// WithMaxFrame limits the body of each frame that is read, in bytes.
func WithMaxFrame(n int) Option { return func(c *Conn) { c.maxFrame = n } }

// WithReadTimeout bounds each wait for the next bytes of a frame. WaitReadable uses
// its own deadline instead.
func WithReadTimeout(d time.Duration) Option { return func(c *Conn) { c.readTimeout = d } }

// NewConn returns a Conn over nc.
func NewConn(nc net.Conn, opts ...Option) *Conn {
	c := &Conn{nc: nc, maxFrame: DefaultMaxFrame}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.nc }

// Close closes the connection and returns the buffers to the pool.
func (c *Conn) Close() error {
	err := c.nc.Close()
	c.releaseReader()
	c.releaseWriter()
	return err
}

// SetReadDeadline sets the deadline for future reads; the zero time removes it.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.nc.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline for future writes; the zero time removes it.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.nc.SetWriteDeadline(t) }

// SetWriteTimeout bounds the wait for the peer to accept data. The timeout starts again
// with each chunk, so that a slow reader is not disconnected while it makes progress.
func (c *Conn) SetWriteTimeout(d time.Duration) { c.writeTimeout = d }

// SetMaxFrame changes the limit of the body of each frame that is read, in bytes.
func (c *Conn) SetMaxFrame(n int) { c.maxFrame = n }

// HasFrame reports whether a complete frame is buffered.
func (c *Conn) HasFrame() bool {
	c.discardBody()
	if c.r == nil || c.r.Buffered() < headerLen {
		return false
	}
	head, err := c.r.Peek(headerLen)
	return err == nil && uint64(c.r.Buffered()) > uint64(binary.BigEndian.Uint32(head[1:]))
}

// timeoutConn applies the timeouts of a Conn to its underlying connection.
type timeoutConn Conn

// Read reads from the connection with the read timeout.
func (l *timeoutConn) Read(b []byte) (int, error) {
	if l.readTimeout > 0 {
		if err := l.nc.SetReadDeadline(time.Now().Add(l.readTimeout)); err != nil {
			return 0, err
		}
	}
	return l.nc.Read(b)
}

// Write writes in chunks, each with the write timeout.
func (l *timeoutConn) Write(b []byte) (int, error) {
	if l.writeTimeout == 0 {
		return l.nc.Write(b)
	}
	done := 0
	for done < len(b) {
		if err := l.nc.SetWriteDeadline(time.Now().Add(l.writeTimeout)); err != nil {
			return done, err
		}
		n, err := l.nc.Write(b[done:min(len(b), done+writeChunk)])
		done += n
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// Buffered reports whether unread bytes are buffered.
func (c *Conn) Buffered() bool { return c.r != nil && c.r.Buffered() > c.unreadBody }

// ReleaseBuffers returns empty buffers to the pool. Call it before a wait of unknown
// length, so that an idle connection uses little memory.
func (c *Conn) ReleaseBuffers() {
	c.discardBody()
	if c.r != nil && c.r.Buffered() == 0 {
		c.releaseReader()
	}
	if c.w != nil && c.w.Buffered() == 0 {
		c.releaseWriter()
	}
	if cap(c.body) > 0 {
		c.body = nil
	}
	c.encodeBuf = nil
}

func (c *Conn) releaseReader() {
	if c.r != nil {
		c.r.Reset(nil)
		readerPool.Put(c.r)
		c.r, c.unreadBody = nil, 0
	}
}

func (c *Conn) releaseWriter() {
	if c.w != nil {
		c.w.Reset(nil)
		writerPool.Put(c.w)
		c.w = nil
	}
}

func (c *Conn) discardBody() {
	if c.unreadBody > 0 {
		_, _ = c.r.Discard(c.unreadBody)
		c.unreadBody = 0
	}
}

// WaitReadable waits until there are bytes to read or the deadline has passed. The
// connection can still be used after a timeout.
func (c *Conn) WaitReadable(deadline time.Time) error {
	c.discardBody()
	if c.r == nil {
		c.r = readerPool.Get().(*bufio.Reader)
		c.r.Reset((*timeoutConn)(c))
	}
	if c.r.Buffered() > 0 {
		return nil
	}
	timeout := c.readTimeout
	c.readTimeout = 0
	defer func() { c.readTimeout = timeout }()
	if err := c.nc.SetReadDeadline(deadline); err != nil {
		return err
	}
	_, err := c.r.Peek(1)
	return err
}

// ReadStartup reads the body of a startup packet, which has no type byte.
func (c *Conn) ReadStartup() ([]byte, error) {
	var length [lengthLen]byte
	if _, err := io.ReadFull(c.nc, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n < lengthLen+4 || n > maxStartupLen {
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
	if n > c.maxFrame {
		return Frame{Type: typ}, ErrTooLarge
	}
	body, err := c.readBody(n)
	return Frame{Type: typ, Body: body}, err
}

// Relay reads the next frame. If its body is longer than threshold bytes, it copies
// the frame to dst in pieces and returns it without its body and with relayed set.
// After an error, relayed reports that the frame was written to dst only in part.
func (c *Conn) Relay(dst *Conn, threshold int) (f Frame, relayed bool, err error) {
	typ, n, err := c.readHeader()
	if err != nil {
		return Frame{}, false, err
	}
	if n <= threshold {
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

// readHeader reads the type and the body length. Without a buffer it first waits for
// a single byte, so that an idle connection needs no buffer.
func (c *Conn) readHeader() (byte, int, error) {
	c.discardBody()
	if c.r == nil {
		var first [1]byte
		if _, err := io.ReadFull(c.nc, first[:]); err != nil {
			return 0, 0, err
		}
		c.r = readerPool.Get().(*bufio.Reader)
		c.r.Reset((*timeoutConn)(c))
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
		return 0, 0, unexpectedEOF(err)
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
			return nil, unexpectedEOF(err)
		}
		c.unreadBody = n
		return body, nil
	}
	if n > maxKeptBody {
		return c.readLarge(n)
	}
	if cap(c.body) < n {
		c.body = make([]byte, n)
	}
	body := c.body[:n]
	if _, err := io.ReadFull(c.r, body); err != nil {
		return nil, unexpectedEOF(err)
	}
	return body, nil
}

// readLarge reads a large body. Its buffer grows with the bytes that arrive, so that a
// peer cannot make the proxy allocate memory by announcing a length.
func (c *Conn) readLarge(n int) ([]byte, error) {
	var body bytes.Buffer
	if _, err := io.CopyN(&body, c.r, int64(n)); err != nil {
		return nil, unexpectedEOF(err)
	}
	return body.Bytes(), nil
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (c *Conn) writer() *bufio.Writer {
	if c.w == nil {
		c.w = writerPool.Get().(*bufio.Writer)
		c.w.Reset((*timeoutConn)(c))
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

// WriteRaw buffers bytes that are already encoded as frames.
func (c *Conn) WriteRaw(b []byte) error {
	_, err := c.writer().Write(b)
	return err
}

// Send encodes and buffers messages.
func (c *Conn) Send(msgs ...pgproto3.Message) error {
	for _, m := range msgs {
		buf, err := m.Encode(c.encodeBuf[:0])
		if err != nil {
			return err
		}
		c.encodeBuf = buf
		if _, err := c.writer().Write(buf); err != nil {
			return err
		}
	}
	return nil
}

// Flush writes the buffered data.
func (c *Conn) Flush() error {
	if c.w == nil {
		return nil
	}
	return c.w.Flush()
}

package mesh

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout closes a connection on which sent data is not acknowledged. The network
	// may lose a connection for good without a reset.
	userTimeout = 1500 * time.Millisecond
	// queueUserTimeout replaces userTimeout on a connection whose calls have overlapping attempts.
	// Its acknowledgements may wait on a busy link, and another attempt does not.
	queueUserTimeout = 4 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive settings,
	// which detect silent connections that send nothing.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// DetectSilence sets the TCP keep-alive and user timeout of a connection, so that the
// kernel closes it when it is silent.
func DetectSilence(nc net.Conn) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	// Errors are ignored: a connection without these options still works, and the calls on it
	// have timeouts of their own.
	_ = tc.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	setConnUserTimeout(tc, userTimeout)
}

// setConnUserTimeout sets the user timeout of an open connection. A connection on which that
// fails still works.
func setConnUserTimeout(tc *net.TCPConn, d time.Duration) {
	if raw, err := tc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = setUserTimeout(int(fd), d) })
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(fd int, d time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// Dial opens a connection that the kernel closes when it is silent.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) { err = setUserTimeout(int(fd), userTimeout) }); cerr != nil {
			return cerr
		}
		return err
	}}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	}
	return nc, nil
}

// Listen opens a listener whose connections the kernel closes when they are silent.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	l, err := lc.Listen(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

// listener calls DetectSilence for every connection that it accepts.
type listener struct{ net.Listener }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	DetectSilence(nc)
	return nc, nil
}

package mesh

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silentLimit ends a connection whose peer acknowledges nothing: paths may lose
	// a connection for good without a reset.
	silentLimit = 1500 * time.Millisecond
	// probeIdle and probeInterval find silence on connections that send nothing.
	probeIdle     = 5 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Harden sets the limits on silence of a connection.
func Harden(nc net.Conn) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	// A socket that refuses the options works without them; calls have limits too.
	_ = tc.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = setUserTimeout(int(fd)) })
}

func setUserTimeout(fd int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentLimit.Milliseconds()))
}

// Dial opens a connection that notices silence.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) { err = setUserTimeout(int(fd)) }); cerr != nil {
			return cerr
		}
		return err
	}}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
	}
	return nc, nil
}

// Listen opens a listener whose connections notice silence.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	l, err := lc.Listen(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

type listener struct{ net.Listener }

// Accept waits for a connection.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	Harden(nc)
	return nc, nil
}

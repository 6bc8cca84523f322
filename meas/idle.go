package meas

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	idleCallers      = 10_000
	idleCallersQuick = 300
	filesPerCaller   = 2   // both ends are in this process
	filesInReserve   = 300 // for the site and the runtime
	idleSettle       = 300 * time.Millisecond
)

// memory opens idle callers and measures what each adds to the heap and the
// stacks. The callers are bare sockets outside the Go runtime, so that their
// own memory is not part of the figure.
func (e *overhead) memory(ctx context.Context) error {
	n := idleCallers
	if e.o.Quick {
		n = idleCallersQuick
	}
	n, err := e.withinFiles(n)
	if err != nil {
		return err
	}
	callers := make([]*bareCaller, 0, n)
	defer func() {
		for _, c := range callers {
			_ = syscall.Close(c.fd)
		}
	}()
	before := memoryInUse()
	for range n {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c, err := openBare(e.s.Addr(0))
		if err != nil {
			return err
		}
		callers = append(callers, c)
		if err := c.query(overheadRead); err != nil {
			return err
		}
	}
	time.Sleep(idleSettle)
	e.result.IdleCallers = n
	e.result.IdleBytes = float64(memoryInUse()-before) / float64(n)
	return nil
}

// withinFiles bounds the number of callers by the file limit of the process.
func (e *overhead) withinFiles(n int) (int, error) {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return 0, err
	}
	e.result.FilesAllowed = lim.Cur
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0, err
	}
	fit := (int(lim.Cur) - len(open) - filesInReserve) / filesPerCaller
	if fit < n {
		e.result.IdleNote = fmt.Sprintf("scaled down from %d callers: the process may open %d files", n, lim.Cur)
	}
	return max(1, min(n, fit)), nil
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() int64 {
	var m runtime.MemStats
	// The second collection frees what the first one moved out of sync.Pool.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// bareCaller is a caller on a socket of its own that the runtime knows nothing
// about.
type bareCaller struct{ fd int }

const bareTimeout = 5 // seconds for one read

func openBare(addr string) (*bareCaller, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	c := &bareCaller{fd: fd}
	if err := c.startup(to); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	return c, nil
}

func (c *bareCaller) startup(to netip.AddrPort) error {
	limit := syscall.Timeval{Sec: bareTimeout}
	if err := syscall.SetsockoptTimeval(c.fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &limit); err != nil {
		return err
	}
	if err := syscall.Connect(c.fd, &syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}); err != nil {
		return err
	}
	b, err := startupMessage(overheadDatabase, nil)
	if err != nil {
		return err
	}
	return c.exchange(b)
}

func (c *bareCaller) query(sql string) error { return c.exchange(appendQuery(nil, sql)) }

// exchange sends a message and reads up to ReadyForQuery.
func (c *bareCaller) exchange(b []byte) error {
	if _, err := syscall.Write(c.fd, b); err != nil {
		return err
	}
	var buf [2048]byte
	held := 0
	for {
		n, err := syscall.Read(c.fd, buf[held:])
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return err
		}
		if n <= 0 {
			return eris.New("connection closed")
		}
		held += n
		var last byte
		var rest int
		last, rest = walkFrames(buf[:held])
		if last == 'E' {
			return eris.Errorf("refused: %q", buf[:held])
		}
		if last == 'Z' {
			return nil
		}
		held = copy(buf[:], buf[held-rest:held])
	}
}

// walkFrames returns the type of the last whole message and the number of bytes
// after it. It stops at an error.
func walkFrames(b []byte) (last byte, rest int) {
	for len(b) >= frameHeader {
		n := int(binary.BigEndian.Uint32(b[1:])) + 1
		if n > len(b) {
			break
		}
		last = b[0]
		b = b[n:]
		if last == 'E' {
			break
		}
	}
	return last, len(b)
}

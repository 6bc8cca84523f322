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
	filesPerCaller   = 2   // file descriptors: both ends are in this process
	reservedFiles    = 300 // file descriptors for the site and the runtime
	idleSettleTime   = 300 * time.Millisecond
)

// idleMemory opens idle callers and measures how many bytes of heap and stacks each
// one adds. The callers use system calls instead of the net package, so that their
// own memory does not count.
func (e *overhead) idleMemory(ctx context.Context) error {
	count := idleCallers
	if e.o.Quick {
		count = idleCallersQuick
	}
	count, err := e.fitFileLimit(count)
	if err != nil {
		return err
	}
	callers := make([]*syscallCaller, 0, count)
	defer func() {
		for _, c := range callers {
			_ = syscall.Close(c.fd)
		}
	}()
	before := memoryInUse()
	for range count {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c, err := openSyscallCaller(e.s.Addr(0))
		if err != nil {
			return err
		}
		callers = append(callers, c)
		if err := c.query(overheadQuery); err != nil {
			return err
		}
	}
	time.Sleep(idleSettleTime)
	e.result.IdleCallers = count
	e.result.IdleBytes = float64(memoryInUse()-before) / float64(count)
	return nil
}

// fitFileLimit returns the number of callers, at most n, that the file descriptor
// limit of the process allows.
func (e *overhead) fitFileLimit(n int) (int, error) {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return 0, err
	}
	e.result.FilesAllowed = lim.Cur
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0, err
	}
	fit := (int(lim.Cur) - len(open) - reservedFiles) / filesPerCaller
	if fit < n {
		e.result.IdleNote = fmt.Sprintf("scaled down from %d callers: the process may open %d files", n, lim.Cur)
	}
	return max(1, min(n, fit)), nil
}

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() int64 {
	var m runtime.MemStats
	// A sync.Pool keeps its objects over the first collection; the second frees them.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// syscallCaller is a caller whose socket is used by system calls only, so that it
// takes no memory in the Go runtime.
type syscallCaller struct{ fd int }

const syscallReadTimeoutSeconds = 5

func openSyscallCaller(addr string) (*syscallCaller, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	c := &syscallCaller{fd: fd}
	if err := c.startup(to); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	return c, nil
}

func (c *syscallCaller) startup(to netip.AddrPort) error {
	limit := syscall.Timeval{Sec: syscallReadTimeoutSeconds}
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

func (c *syscallCaller) query(sql string) error { return c.exchange(appendQuery(nil, sql)) }

// exchange sends a message and reads up to ReadyForQuery.
func (c *syscallCaller) exchange(b []byte) error {
	if _, err := syscall.Write(c.fd, b); err != nil {
		return err
	}
	var buf [2048]byte
	buffered := 0
	for {
		n, err := syscall.Read(c.fd, buf[buffered:])
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return err
		}
		if n <= 0 {
			return eris.New("entry closed the connection of an idle caller")
		}
		buffered += n
		var last byte
		var rest int
		last, rest = lastFrame(buf[:buffered])
		if last == 'E' {
			return eris.Errorf("entry answered an idle caller with an error: %q", buf[:buffered])
		}
		if last == 'Z' {
			return nil
		}
		buffered = copy(buf[:], buf[buffered-rest:buffered])
	}
}

// lastFrame returns the type of the last complete message and the number of bytes
// after it. It stops at an ErrorResponse.
func lastFrame(b []byte) (last byte, rest int) {
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

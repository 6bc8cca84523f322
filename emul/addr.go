package emul

import (
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Reserved ports lie below the ephemeral range of the system. In that range an outgoing
// connection could take a port before an instance listens on it.
const (
	lowestPort = 10_000
	portCount  = 20_000
)

// lastPort is the offset of the port that was tried last, so that no port is reserved twice.
// It starts at a random value because other processes reserve ports too.
var lastPort atomic.Uint32

func init() { lastPort.Store(mathrand.Uint32N(portCount)) }

// ReserveAddrs returns the addresses of n free ports of host. Instances need the addresses of
// each other before they start.
func ReserveAddrs(host string, n int) ([]string, error) {
	var addrs []string
	for range portCount {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := net.JoinHostPort(host, strconv.Itoa(int(lowestPort+lastPort.Add(1)%portCount)))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer l.Close()
		addrs = append(addrs, addr)
	}
	return nil, eris.Errorf("fewer than %d ports of %s are free", n, host)
}

// ProcessHost returns a loopback address that no other process uses, if all choose theirs by
// this function.
func ProcessHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&63, pid>>8&255, pid&255)
}

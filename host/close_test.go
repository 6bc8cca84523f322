package host

import (
	"net"
	"testing"

	"tamarackcross/mesh"
)

// TestCloseFreesAddresses guards against an instance that cannot start again at its address, since
// its earlier start was closed and still listens there.
func TestCloseFreesAddresses(t *testing.T) {
	for range 40 {
		g := startControlGroup(t, 1)
		e := g.startUnmanagedEntry(mesh.Dial)
		e.Close()
		g.close(0)
		s := g.all[0].settings
		for _, addr := range []string{e.settings.CallerAddr, e.settings.ReadyAddr, e.settings.PeerAddr, s.ControlAddr, s.PeerAddr} {
			l, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			if err := l.Close(); err != nil {
				t.Error(err)
			}
		}
	}
}

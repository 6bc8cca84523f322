package entry_test

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/entry"
	"tamarackcross/token"
)

// TestCloseWhileAccepting guards against a server that accepts a caller while it is closed, so
// that Close does not wait for the session of the caller. The race detector reports it.
func TestCloseWhileAccepting(t *testing.T) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e := entry.New(entry.NewStaticDirectory(), token.New(tokenKey))
		served, dialed := make(chan error, 1), make(chan error, 1)
		go func() { served <- e.Serve(t.Context(), l) }()
		go func() {
			for {
				nc, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					dialed <- nil
					return
				}
				_ = nc.Close()
			}
		}()
		e.Close()
		_ = l.Close()
		<-dialed
		if err := <-served; err != nil {
			t.Error(err)
		}
	}
}

// TestCloseNeedsNoServer guards against a caller that cannot close a prepared statement while no
// backend server answers. Drivers close statements that failed before they send anything else.
func TestCloseNeedsNoServer(t *testing.T) {
	s := startSite(t)
	c := dialRaw(t, s.addrs[0])
	c.start(map[string]string{"user": "app", "database": "app"})
	send := func(msgs ...pgproto3.FrontendMessage) string {
		for _, m := range append(msgs, &pgproto3.Sync{}) {
			c.fe.Send(m)
		}
		if err := c.fe.Flush(); err != nil {
			t.Fatal(err)
		}
		return c.read(testTimeout)
	}
	expectEqual(t, "prepared", "ParseComplete, ReadyForQuery I\n", send(&pgproto3.Parse{Name: "a", Query: "SELECT 1"}))
	for _, m := range s.group.Servers() {
		if err := m.Stop(); err != nil {
			t.Fatal(err)
		}
	}
	expectEqual(t, "closed", "CloseComplete, CloseComplete, ReadyForQuery I\n",
		send(&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Close{ObjectType: 'P', Name: "p"}))
}

package entry_test

import (
	"net"
	"testing"

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

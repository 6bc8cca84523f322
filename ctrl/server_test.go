package ctrl_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"tamarackcross/ctlpb"
	"tamarackcross/ctrl"
)

type panickingHandler struct{}

func (panickingHandler) HandleRPC(drpc.Stream, string) error { panic("unexpected message") }

// TestPanicFailsOneCall guards against an unexpected error in one call of another instance that
// ends the process.
func TestPanicFailsOneCall(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	reports, done := make(chan string, 2), make(chan error, 1)
	go func() {
		done <- ctrl.Serve(ctx, l, panickingHandler{}, func(call string, err error) { reports <- call + " " + err.Error() })
	}()
	for range 2 {
		nc, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn := drpcconn.New(nc)
		if _, err := ctlpb.NewDRPCControlClient(conn).Hello(ctx, &ctlpb.HelloRequest{}); err == nil {
			t.Error("the call succeeded")
		}
		if got := <-reports; !strings.Contains(got, "Hello") || !strings.Contains(got, "unexpected message") {
			t.Errorf("reported %q", got)
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

package ctrl_test

import (
	"context"
	"net"
	"testing"
	"time"

	"tamarackcross/ctlpb"
	"tamarackcross/ctrl"
)

// TestSilentControlMember guards against a control member that answers nothing and uses up the
// time of every call, so that no call reaches the others.
func TestSilentControlMember(t *testing.T) {
	c := newCluster(t, 1)
	c.leader()
	const silent = "127.0.0.1:1"
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}
	client := ctrl.NewClient(dial, silent, c.members[0].addr)
	defer client.Close()
	var err error
	for range 3 {
		ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err = client.Observe(ctx, &ctlpb.ObserveRequest{Instance: "entry-1", Zone: "a"})
		stop()
	}
	if err != nil {
		t.Errorf("third report: %v", err)
	}
}

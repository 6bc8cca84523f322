package ctrl_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"tamarackcross/ctlpb"
	"tamarackcross/ctrl"
	"tamarackcross/raft"
	"tamarackcross/state"
)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// startSingleMember starts a control log of one member and waits until it leads.
func startSingleMember(b *testing.B) (*ctrl.Node, string) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := l.Addr().String()
	n, err := ctrl.Open(b.TempDir(), addr, ctrl.WithName("control-1"), ctrl.WithInitialMembers(addr), ctrl.WithDial(dialTCP))
	if err != nil {
		b.Fatal(err)
	}
	mux := drpcmux.New()
	if err := n.Register(mux); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- ctrl.Serve(ctx, l, mux, func(call string, err error) { b.Errorf("%s: %v", call, err) })
	}()
	b.Cleanup(func() {
		cancel()
		<-done
		if err := n.Close(); err != nil {
			b.Error(err)
		}
	})
	for n.Status().Role != raft.Leader || !n.Status().Current {
		time.Sleep(time.Millisecond)
	}
	return n, addr
}

// reportFor returns the report of an entry on one member of each database.
func reportFor(databases int) *ctlpb.ObserveRequest {
	in := &ctlpb.ObserveRequest{Instance: "entry-0001", Zone: "zone-a"}
	for i := range databases {
		in.Observations = append(in.Observations, &ctlpb.Observation{
			Database: fmt.Sprintf("database-%04d", i), Member: fmt.Sprintf("database-%04d-1", i),
			Term: 3, Reachable: true, PositionTerm: 3, PositionOffset: 1_000_000, AgeMs: 100,
		})
	}
	return in
}

// BenchmarkObserve measures the cost of one report, at the leader and the entry
// together, and its size, for different numbers of databases that the entry uses.
func BenchmarkObserve(b *testing.B) {
	for _, databases := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("databases=%d", databases), func(b *testing.B) {
			_, addr := startSingleMember(b)
			c := ctrl.NewClient(dialTCP, addr)
			defer c.Close()
			in := reportFor(databases)
			for b.Loop() {
				if _, err := c.Observe(context.Background(), in); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(in)), "bytes/report")
		})
	}
}

// BenchmarkPropose measures the time to commit one command in a log of one
// member, including the sync to disk.
func BenchmarkPropose(b *testing.B) {
	_, addr := startSingleMember(b)
	c := ctrl.NewClient(dialTCP, addr)
	defer c.Close()
	for i := 0; b.Loop(); i++ {
		cmd := state.RegisterInstance{Instance: state.Instance{
			Name: "entry-0001", Incarnation: uint64(i + 1), Zone: "zone-a", Addresses: []string{"127.0.0.1:1", "127.0.0.1:2"},
		}}
		if _, err := c.Propose(context.Background(), cmd); err != nil {
			b.Fatal(err)
		}
	}
}

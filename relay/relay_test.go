package relay_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"tamarackcross/config"
	"tamarackcross/group"
	"tamarackcross/mesh"
	"tamarackcross/proxy"
	"tamarackcross/relay"
)

// stubHolder serves links with handle.
type stubHolder struct{ handle func(proxy.Caller) }

func (h stubHolder) HandleForwarded(c proxy.Caller) {
	defer c.Close()
	h.handle(c)
}

// startHolder serves h on loopback and returns its address and a function that stops it.
func startHolder(t *testing.T, h relay.Holder) (string, context.CancelFunc) {
	t.Helper()
	mux := drpcmux.New()
	if err := relay.Register(mux, h); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- drpcserver.New(mux).Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return l.Addr().String(), cancel
}

func openLink(t *testing.T, addr string) proxy.Link {
	t.Helper()
	l, err := relay.NewLinks(mesh.Dial).Open(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

const limit = time.Second

var request = proxy.Forwarded{
	NewUnit: true, Begin: &proxy.Begin{ReadOnly: true}, Database: "d", Customer: "c", Weight: 2.5, CustomerPriority: 1, Caller: "u",
	Route: config.Route{
		Database: "d", Service: "s", Freshness: config.Session, MaxAge: time.Second, Timeout: 2 * time.Second,
		LatencyGoal: 300 * time.Millisecond, Priority: 2,
	},
	Values: map[string]string{"a": "\xff b"}, PreparedName: "p", PreparedStatement: proxy.PreparedStatement{Writes: true, Text: "x"},
	LastCommit: group.Position{Term: 3, Offset: 1 << 40}, LastCommitAge: time.Minute, Elapsed: time.Millisecond, TokenAge: 3 * time.Millisecond,
	Request: proxy.Request{ID: "1", Text: "text \xfe", Statement: proxy.Execute{Name: "p", Args: "7 8"}},
}

// TestExchange guards against a field of a request or an answer that is lost or changed on
// the way, also where a text is not valid UTF-8.
func TestExchange(t *testing.T) {
	answers := []proxy.Answer{
		{
			Rows: [][]byte{{0, 255}, []byte("row")}, Signature: "s", Status: proxy.InTx,
			Position: group.Position{Term: 3, Offset: 9},
			Proof: &proxy.Proof{
				Member: "m", Position: group.Position{Term: 1, Offset: 2}, Age: time.Second, Lags: map[string]time.Duration{"r": time.Minute},
			},
		},
		{Fault: &proxy.Fault{Code: proxy.Busy, Text: "come back"}, Status: proxy.FailedTx},
	}
	got := make(chan proxy.Request, len(answers))
	addr, _ := startHolder(t, stubHolder{handle: func(c proxy.Caller) {
		for _, a := range answers {
			req, err := c.Next(0)
			if err != nil {
				return
			}
			got <- req
			if err := c.Reply(a); err != nil {
				return
			}
		}
	}})
	l := openLink(t, addr)
	for _, want := range answers {
		a, err := l.Exchange(request, limit)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, a); diff != "" {
			t.Fatalf("answer (-want +got):\n%s", diff)
		}
		req := <-got
		seen := *req.Forwarded
		seen.Request = proxy.Request{ID: req.ID, Text: req.Text, Statement: req.Statement}
		if diff := cmp.Diff(request, seen); diff != "" {
			t.Fatalf("request (-want +got):\n%s", diff)
		}
	}
}

// TestNotProcessed guards against a request that is sent to a second holder although the
// first one may have processed it: ErrNotProcessed is allowed only if the holder has said
// so. It also guards against an exchange that outlasts its limit.
func TestNotProcessed(t *testing.T) {
	cases := []struct {
		name         string
		handle       func(c proxy.Caller, release <-chan struct{})
		notProcessed bool
	}{
		{"leaving", func(proxy.Caller, <-chan struct{}) {}, true},
		{"interrupted", func(c proxy.Caller, _ <-chan struct{}) {
			c.Interrupt()
			if _, err := c.Next(0); err == nil {
				t.Error("Next returned a request after the interruption")
			}
		}, true},
		{"refused", func(c proxy.Caller, _ <-chan struct{}) {
			if _, err := c.Next(0); err == nil {
				_ = c.Refuse(&proxy.Fault{Code: proxy.Busy})
			}
		}, true},
		{"closed while the request runs", func(c proxy.Caller, release <-chan struct{}) {
			if _, err := c.Next(0); err == nil {
				_ = c.Close()
				<-release
			}
		}, false},
		{"silent", func(c proxy.Caller, release <-chan struct{}) {
			if _, err := c.Next(0); err == nil {
				<-release
			}
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			release := make(chan struct{})
			addr, _ := startHolder(t, stubHolder{handle: func(c proxy.Caller) { tc.handle(c, release) }})
			t.Cleanup(func() { close(release) })
			start := time.Now()
			_, err := openLink(t, addr).Exchange(request, 200*time.Millisecond)
			if err == nil || errors.Is(err, proxy.ErrNotProcessed) != tc.notProcessed {
				t.Fatalf("error %v, want ErrNotProcessed: %t", err, tc.notProcessed)
			}
			if took := time.Since(start); took > limit {
				t.Fatalf("the exchange took %v, far beyond its limit", took)
			}
		})
	}
}

// TestLostHolder guards against a holder that dies during a request and counts as one that
// has not processed it, or whose link still counts as open.
func TestLostHolder(t *testing.T) {
	received := make(chan struct{})
	addr, kill := startHolder(t, stubHolder{handle: func(c proxy.Caller) {
		if _, err := c.Next(0); err == nil {
			close(received)
			_, _ = c.Next(0)
		}
	}})
	l := openLink(t, addr)
	go func() {
		<-received
		kill()
	}()
	_, err := l.Exchange(request, 5*time.Second)
	if err == nil || errors.Is(err, proxy.ErrNotProcessed) {
		t.Fatalf("error %v, want one other than ErrNotProcessed", err)
	}
	deadline := time.Now().Add(limit)
	for l.Alive() {
		if time.Now().After(deadline) {
			t.Fatal("the link still counts as open after the holder was lost")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCalls guards against a call that fails because the idle connection of the call
// before was closed.
func TestCalls(t *testing.T) {
	addr, _ := startHolder(t, stubHolder{})
	client := relay.NewLinks(mesh.Dial)
	for range 2 {
		if err := client.Ping(t.Context(), addr); err != nil {
			t.Fatal(err)
		}
		if err := client.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.Ping(t.Context(), "127.0.0.1:1"); err == nil {
		t.Fatal("a port without a listener answered")
	}
}

// TestCallerGone guards against a holder that works on for a caller that has left: closing the link
// must show at the holder while it works on a request.
func TestCallerGone(t *testing.T) {
	arrived, gone := make(chan bool, 1), make(chan bool, 1)
	addr, _ := startHolder(t, stubHolder{handle: func(c proxy.Caller) {
		if _, err := c.Next(0); err != nil {
			t.Error(err)
			return
		}
		arrived <- c.Gone()
		for end := time.Now().Add(10 * time.Second); !c.Gone() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		gone <- c.Gone()
	}})
	l := openLink(t, addr)
	ended := make(chan error, 1)
	go func() {
		_, err := l.Exchange(request, time.Minute)
		ended <- err
	}()
	if <-arrived {
		t.Error("the caller counts as gone while the link is open")
	}
	_ = l.Close()
	if !<-gone {
		t.Error("the caller does not count as gone after the link was closed")
	}
	if err := <-ended; err == nil {
		t.Error("the exchange succeeded")
	}
}

package proxy_test

import (
	"testing"
	"time"

	"tamarackcross/proxy"
)

// TestPanicEndsOneSession guards against an unexpected error in one request that ends the
// process, or that keeps the connection which the request had borrowed.
func TestPanicEndsOneSession(t *testing.T) {
	p := newHarness(t)
	p.addMember("m1 primary")
	p.configure("lat latest")
	for _, id := range []string{"s1", "s2"} {
		p.open(id + " lat")
	}
	if got := p.send("s1 a1 write x 1"); got != "a1: done by m1, idle" {
		t.Fatal(got)
	}
	before := p.openConns("m1")
	p.group.mu.Lock()
	p.group.members["m1"].panicNext = true
	p.group.mu.Unlock()
	c := p.sessions["s1"]
	c.requests <- proxy.Request{ID: "a2", Text: "write x 2", Statement: proxy.Write{}}
	select {
	case <-c.left:
	case a := <-c.answers:
		t.Fatalf("got answer %+v", a)
	case <-time.After(5 * time.Second):
		t.Fatal("the session goes on")
	}
	if got := p.send("s2 b1 write x 3"); got != "b1: done by m1, idle" {
		t.Fatal(got)
	}
	for end := time.Now().Add(5 * time.Second); p.openConns("m1") > before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want at most %d", p.openConns("m1"), before)
		}
	}
}

func (r *harness) openConns(id string) int {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.members[id].openConns
}

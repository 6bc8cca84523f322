package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/proxy"
)

// fakePeerClient connects an instance to holders in the same process and injects faults.
type fakePeerClient struct {
	mu      sync.Mutex
	holders map[string]*fakeHolder // by address, which is the name
}

type fakeHolder struct {
	server *proxy.Server
	// The faults to inject: the number of next requests that are not processed, the
	// number of next answers that are lost, and a holder that does not answer at all.
	refuseNext, loseAnswers int
	unreachable             bool
	silent                  bool // it answers pings, but no request
	processed               int
	closedLinks             int
}

var errLost = errors.New("the link was lost")

func (l *fakePeerClient) holder(addr string) (*fakeHolder, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holders[addr]
	if h == nil || h.unreachable {
		return nil, errLost
	}
	return h, nil
}

// Open opens a link.
func (l *fakePeerClient) Open(_ context.Context, addr string) (proxy.Link, error) {
	h, err := l.holder(addr)
	if err != nil {
		return nil, err
	}
	c := &fakeCaller{requests: make(chan proxy.Request), answers: make(chan proxy.Answer, 1), left: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		h.server.HandleForwarded(c)
		done <- nil
	}()
	return &fakeLink{client: l, holder: h, caller: c, done: done}, nil
}

// Ping answers unless the holder is unreachable.
func (l *fakePeerClient) Ping(_ context.Context, addr string) error {
	_, err := l.holder(addr)
	return err
}

type fakeLink struct {
	client *fakePeerClient
	holder *fakeHolder
	caller *fakeCaller
	done   chan error
}

func (l *fakeLink) Alive() bool { return true }

func (l *fakeLink) Close() error {
	l.client.mu.Lock()
	l.holder.closedLinks++
	l.client.mu.Unlock()
	l.caller.Interrupt()
	return nil
}

// nextFault returns the fault for the next request and counts it off.
func (l *fakeLink) nextFault() (refuse, lose, unreachable bool) {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	h := l.holder
	switch {
	case h.unreachable || h.silent:
		return false, false, true
	case h.refuseNext > 0:
		h.refuseNext--
		return true, false, false
	case h.loseAnswers > 0:
		h.loseAnswers--
		return false, true, false
	}
	h.processed++
	return false, false, false
}

// Exchange sends a request to the holder, unless a fault is due.
func (l *fakeLink) Exchange(d proxy.Forwarded, limit time.Duration) (proxy.Answer, error) {
	refuse, lose, unreachable := l.nextFault()
	if refuse {
		return proxy.Answer{}, proxy.ErrNotProcessed
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	if unreachable {
		select {
		case <-timer.C:
		case <-l.caller.left:
		}
		return proxy.Answer{}, errLost
	}
	req := d.Request
	req.Forwarded = &d
	select {
	case l.caller.requests <- req:
	case <-l.caller.left:
		return proxy.Answer{}, proxy.ErrNotProcessed
	}
	select {
	case a := <-l.caller.answers:
		if lose {
			return proxy.Answer{}, errLost
		}
		return a, nil
	case <-timer.C:
		return proxy.Answer{}, errLost
	}
}

// forwardingHarness is a harness whose instance forwards requests to two holders.
type forwardingHarness struct {
	*harness
	peerClient *fakePeerClient
	prover     *downProver
}

// scarceMaxConns is so low for instanceCount instances that three of them are
// holders, and leaves one connection to each of the instances for reads.
const (
	scarceMaxConns = 17
	instanceCount  = 6
)

func newForwardingHarness(t *testing.T) *forwardingHarness {
	l, prover := &fakePeerClient{holders: map[string]*fakeHolder{}}, new(downProver)
	p := &forwardingHarness{harness: newHarness(t, proxy.WithName("entry"), proxy.WithPeerClient(l), proxy.WithProver(prover)), peerClient: l, prover: prover}
	p.maxConns = scarceMaxConns
	var peers []proxy.Peer
	for _, name := range []string{"h1", "h2"} {
		s := proxy.New(p.group, p.table, proxy.WithName(name), proxy.WithZone("a"))
		t.Cleanup(s.Close)
		l.holders[name] = &fakeHolder{server: s}
		peers = append(peers, proxy.Peer{Name: name, Addr: name})
	}
	p.server.SetInstanceCount(instanceCount)
	p.server.SetPeers(peers)
	return p
}

// downProver simulates control instances that cannot be reached, and counts the calls.
type downProver struct{ calls atomic.Int64 }

func (p *downProver) Prove(context.Context, string) (proxy.Proof, error) {
	p.calls.Add(1)
	return proxy.Proof{}, errLost
}

// setHolderFault sets a fault of one holder or both: "h1 refuse", "both lose",
// "h1 unreachable 1".
func (p *forwardingHarness) setHolderFault(t *testing.T, line string) {
	f := strings.Fields(line)
	p.peerClient.mu.Lock()
	defer p.peerClient.mu.Unlock()
	for name, h := range p.peerClient.holders {
		if f[0] != name && f[0] != "both" {
			continue
		}
		switch f[1] {
		case "refuse":
			h.refuseNext = 1
		case "lose":
			h.loseAnswers = 1
		case "unreachable":
			h.unreachable = f[2] == "1"
		case "silent":
			h.silent = true
		default:
			t.Fatalf("unknown fault %s", f[1])
		}
	}
}

// TestForwarding guards against forwarded requests that run twice, lose their session
// state or report a wrong outcome, when holders do not process requests, lose answers
// or cannot be reached. It replays scripts.
func TestForwarding(t *testing.T) {
	datadriven.Walk(t, "testpass", func(t *testing.T, path string) {
		p := newForwardingHarness(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p.t = t
			var out []string
			for line := range strings.SplitSeq(d.Input, "\n") {
				switch d.Cmd {
				case "member":
					p.addMember(line)
				case "holder":
					p.setHolderFault(t, line)
				case "fault":
					p.inject(line)
					out = append(out, "ok")
				case "open":
					out = append(out, p.open(line))
				case "send":
					out = append(out, p.send(line))
				}
			}
			switch d.Cmd {
			case "config":
				for _, h := range p.peerClient.holders {
					h.server.Configure(p.document(d.Input))
					h.server.SetInstanceCount(1)
				}
				p.configure(d.Input)
			case "wait":
				time.Sleep(duration(t, d.CmdArgs[0].Key))
			case "runs":
				return p.takeExecuted(d.CmdArgs[0].Key)
			}
			return strings.Join(out, "\n")
		})
	})
}

// processed returns how many requests the holders have processed.
func (p *forwardingHarness) processed() int {
	p.peerClient.mu.Lock()
	defer p.peerClient.mu.Unlock()
	n := 0
	for _, h := range p.peerClient.holders {
		n += h.processed
	}
	return n
}

// TestProofsComeWithAnswers guards against an instance that asks for proofs of primary whether
// a request needs them or not, which costs calls in proportion to instances and services, and
// against one that forwards every read although an answer has brought a proof.
func TestProofsComeWithAnswers(t *testing.T) {
	p := newForwardingHarness(t)
	for _, m := range []string{"m1 primary", "m2"} {
		p.addMember(m)
	}
	const routes = "app bounded 1500ms"
	for _, h := range p.peerClient.holders {
		h.server.Configure(p.document(routes))
		h.server.SetInstanceCount(1)
	}
	p.configure(routes)
	p.open("s app")
	time.Sleep(time.Second)
	if n := p.prover.calls.Load(); n != 0 {
		t.Errorf("%d calls for proofs without any request", n)
	}
	var answers []string
	for n := range 3 {
		answers = append(answers, p.send(fmt.Sprintf("s r%d read x", n)))
	}
	if n := p.processed(); n != 1 {
		t.Errorf("holders processed %d of the reads %q, want 1", n, answers)
	}
}

// TestCallerLeavesWhileForwarded guards against a request that stays at a holder after its caller has
// left: the link is closed, which tells the holder, and no other holder is asked.
func TestCallerLeavesWhileForwarded(t *testing.T) {
	p := newForwardingHarness(t)
	p.addMember("m1 primary")
	const routes = "lat latest"
	for _, h := range p.peerClient.holders {
		h.server.Configure(p.document(routes))
		h.server.SetInstanceCount(1)
	}
	p.configure(routes)
	p.open("s lat")
	p.setHolderFault(t, "both silent")
	c := p.sessions["s"]
	c.requests <- proxy.Request{ID: "1", Text: "read x", Statement: proxy.Read{}}
	c.gone.Store(true)
	a := <-c.answers
	if a.Fault == nil || a.Fault.Code != proxy.Busy {
		t.Errorf("answer %+v, want that it has not run", a)
	}
	p.peerClient.mu.Lock()
	defer p.peerClient.mu.Unlock()
	var asked []string
	for name, h := range p.peerClient.holders {
		if h.closedLinks > 0 {
			asked = append(asked, name)
		}
		if h.processed > 0 {
			t.Errorf("holder %s processed the request", name)
		}
	}
	if len(asked) != 1 {
		t.Errorf("links to holders %v were closed, want that of one", asked)
	}
}

// TestCustomersKeepTheirHolder guards against a customer whose connections are spread over holders, and
// against one that moves although its holder answers.
func TestCustomersKeepTheirHolder(t *testing.T) {
	p := newForwardingHarness(t)
	for _, m := range []string{"m1 primary", "m2"} {
		p.addMember(m)
	}
	config := []string{"app session 1500ms"}
	customers := []string{"acme", "bolt", "core", "dune", "echo", "flux"}
	for _, c := range customers {
		config = append(config, "customer "+c+" key-"+c)
	}
	for _, h := range p.peerClient.holders {
		h.server.Configure(p.document(strings.Join(config, "\n")))
		h.server.SetInstanceCount(1)
	}
	p.configure(strings.Join(config, "\n"))
	time.Sleep(500 * time.Millisecond)
	n := 0
	// holder sends requests of a customer and returns the holder that processed all of them.
	holder := func(customer string) string {
		p.open(fmt.Sprintf("s%d app key-%s", n, customer))
		before := p.processedBy()
		for i := range 4 {
			if a := p.send(fmt.Sprintf("s%d r%d-%d read x", n, n, i)); !strings.Contains(a, "done") {
				t.Errorf("%s: %s", customer, a)
			}
		}
		n++
		var holders []string
		for name, count := range p.processedBy() {
			if count > before[name] {
				holders = append(holders, name)
			}
		}
		if len(holders) != 1 {
			t.Fatalf("requests of %s were processed by %q", customer, holders)
		}
		return holders[0]
	}
	holders := make(map[string]string)
	for _, c := range customers {
		holders[c] = holder(c)
	}
	lost := holders[customers[0]]
	p.setHolderFault(t, lost+" unreachable 1")
	for _, c := range customers {
		if got := holder(c); got == lost || holders[c] != lost && got != holders[c] {
			t.Errorf("%s moved from %s to %s when %s was lost", c, holders[c], got, lost)
		}
	}
}

// processedBy returns how many requests each holder has processed.
func (p *forwardingHarness) processedBy() map[string]int {
	p.peerClient.mu.Lock()
	defer p.peerClient.mu.Unlock()
	out := make(map[string]int)
	for name, h := range p.peerClient.holders {
		out[name] = h.processed
	}
	return out
}

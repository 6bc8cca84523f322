package proxy_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/proxy"
)

// fakeLinks connects an instance to holders in the same process, with faults.
type fakeLinks struct {
	mu      sync.Mutex
	holders map[string]*fakeHolder // by address, which is the name
}

type fakeHolder struct {
	server *proxy.Server
	// faults to come: requests that are not taken, answers that are lost, and a holder
	// that does not answer at all.
	refuse, lose int
	dark         bool
	taken        int
}

var errLost = errors.New("the link was lost")

func (l *fakeLinks) holder(addr string) (*fakeHolder, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holders[addr]
	if h == nil || h.dark {
		return nil, errLost
	}
	return h, nil
}

// Open opens a link.
func (l *fakeLinks) Open(_ context.Context, addr string) (proxy.Link, error) {
	h, err := l.holder(addr)
	if err != nil {
		return nil, err
	}
	c := &fakeCaller{requests: make(chan proxy.Request), answers: make(chan proxy.Answer, 1), left: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		h.server.HandleDelegated(c)
		done <- nil
	}()
	return &fakeLink{links: l, holder: h, caller: c, done: done}, nil
}

// Ping answers unless the holder is dark.
func (l *fakeLinks) Ping(_ context.Context, addr string) error {
	_, err := l.holder(addr)
	return err
}

// Newest returns the newest proof of a holder.
func (l *fakeLinks) Newest(_ context.Context, addr, service string) (proxy.Proof, error) {
	h, err := l.holder(addr)
	if err != nil {
		return proxy.Proof{}, err
	}
	p, ok := h.server.Newest(service)
	if !ok {
		return p, errLost
	}
	return p, nil
}

type fakeLink struct {
	links  *fakeLinks
	holder *fakeHolder
	caller *fakeCaller
	done   chan error
}

func (l *fakeLink) Alive() bool { return true }

func (l *fakeLink) Close() error {
	l.caller.Interrupt()
	return nil
}

// fault takes the next fault of the holder.
func (l *fakeLink) fault() (refuse, lose, dark bool) {
	l.links.mu.Lock()
	defer l.links.mu.Unlock()
	h := l.holder
	switch {
	case h.dark:
		return false, false, true
	case h.refuse > 0:
		h.refuse--
		return true, false, false
	case h.lose > 0:
		h.lose--
		return false, true, false
	}
	h.taken++
	return false, false, false
}

// Exchange passes on a request.
func (l *fakeLink) Exchange(d proxy.Delegated, limit time.Duration) (proxy.Answer, error) {
	refuse, lose, dark := l.fault()
	if refuse {
		return proxy.Answer{}, proxy.ErrNotTaken
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	if dark {
		select {
		case <-timer.C:
		case <-l.caller.left:
		}
		return proxy.Answer{}, errLost
	}
	req := d.Request
	req.Delegated = &d
	select {
	case l.caller.requests <- req:
	case <-l.caller.left:
		return proxy.Answer{}, proxy.ErrNotTaken
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

// passing is a rig whose instance passes requests on.
type passing struct {
	*rig
	links *fakeLinks
}

// fewConns is so few for fleetSize instances that three of them are holders.
const (
	fewConns  = 17
	fleetSize = 10
)

func newPassing(t *testing.T) *passing {
	l := &fakeLinks{holders: map[string]*fakeHolder{}}
	p := &passing{rig: newRig(t, proxy.WithName("entry"), proxy.WithLinks(l), proxy.WithProver(noProver{})), links: l}
	p.maxConns = fewConns
	var peers []proxy.Peer
	for _, name := range []string{"h1", "h2"} {
		s := proxy.New(p.group, p.table, proxy.WithName(name), proxy.WithZone("a"))
		t.Cleanup(s.Close)
		l.holders[name] = &fakeHolder{server: s}
		peers = append(peers, proxy.Peer{Name: name, Addr: name})
	}
	p.server.SetInstances(fleetSize)
	p.server.SetPeers(peers)
	return p
}

// noProver stands for control that cannot be reached.
type noProver struct{}

func (noProver) Prove(context.Context, string) (proxy.Proof, error) { return proxy.Proof{}, errLost }

// holder changes holders: "h1 refuse 1"; "both lose 1".
func (p *passing) holder(t *testing.T, line string) {
	f := strings.Fields(line)
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	for name, h := range p.links.holders {
		if f[0] != name && f[0] != "both" {
			continue
		}
		switch f[1] {
		case "refuse":
			h.refuse = 1
		case "lose":
			h.lose = 1
		case "dark":
			h.dark = f[2] == "1"
		default:
			t.Fatalf("unknown fault %s", f[1])
		}
	}
}

// TestDelegate plays scripts of requests that are passed on.
func TestDelegate(t *testing.T) {
	datadriven.Walk(t, "testpass", func(t *testing.T, path string) {
		p := newPassing(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p.t = t
			var out []string
			for line := range strings.SplitSeq(d.Input, "\n") {
				switch d.Cmd {
				case "member":
					p.member(line)
				case "holder":
					p.holder(t, line)
				case "open":
					out = append(out, p.open(line))
				case "send":
					out = append(out, p.send(line))
				}
			}
			switch d.Cmd {
			case "config":
				for _, h := range p.links.holders {
					h.server.Configure(p.document(d.Input))
					h.server.SetInstances(1)
				}
				p.configure(d.Input)
			case "wait":
				time.Sleep(duration(t, d.CmdArgs[0].Key))
			case "runs":
				return p.runs(d.CmdArgs[0].Key)
			}
			return strings.Join(out, "\n")
		})
	})
}

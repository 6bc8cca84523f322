package host

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"storj.io/drpc/drpcmux"

	"tamarackcross/ctrl"
	"tamarackcross/event"
	"tamarackcross/mesh"
	"tamarackcross/stats"
)

// heldControl is a control instance that leads. It answers the first Sync call at once and holds
// the others.
type heldControl struct {
	mesh.Handler
	held    chan struct{}
	reports chan *mesh.SyncRequest
}

func (h *heldControl) Sync(ctx context.Context, in *mesh.SyncRequest) (*mesh.SyncReply, error) {
	switch {
	case in.ReportOnly:
		h.reports <- in
		return &mesh.SyncReply{}, nil
	case in.Incarnation == 0:
		return &mesh.SyncReply{Incarnation: 1, Led: true}, nil
	}
	h.held <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestReportWhileSyncIsHeld guards against a backend server whose loss control learns of only
// when the Sync call that it holds ends.
func TestReportWhileSyncIsHeld(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &heldControl{held: make(chan struct{}, 1), reports: make(chan *mesh.SyncRequest, 1)}
	mux := drpcmux.New()
	if err := mesh.Register(mux, h, nil); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() {
		served <- ctrl.Serve(ctx, l, mux, func(call string, err error) { t.Errorf("%s: %v", call, err) })
	}()
	c := newControlClients("", "a", mesh.Dial, time.Now, event.Nop(), stats.New(nil))
	c.newRequest = func() mesh.SyncRequest {
		return mesh.SyncRequest{Name: "front-1", UnresponsiveMembers: []mesh.UnresponsiveMember{{Service: "svc", ID: "m1", For: time.Second}}}
	}
	c.onReply = func(string, *mesh.SyncReply) {}
	c.start(ctx, []string{l.Addr().String()})
	<-h.held
	c.reportNow()
	select {
	case in := <-h.reports:
		if diff := cmp.Diff("m1", in.UnresponsiveMembers[0].ID); diff != "" {
			t.Error(diff)
		}
	case <-time.After(longPollWait / 2):
		t.Error("no report arrived while the Sync call was held")
	}
	stop()
	c.close()
	<-served
}

// TestFailingWhileNoNewReport guards against a backend server that counts as failing only with
// the report after the one that named it.
func TestFailingWhileNoNewReport(t *testing.T) {
	now := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	unresponsive := func(d time.Duration) []mesh.UnresponsiveMember {
		return []mesh.UnresponsiveMember{{Service: "svc", ID: "m1", For: d}}
	}
	reports := map[string]instanceReport{
		"long enough with the time since": {home: true, at: ago(210 * time.Millisecond), unresponsive: unresponsive(300 * time.Millisecond)},
		"not long enough":                 {home: true, at: ago(100 * time.Millisecond), unresponsive: unresponsive(300 * time.Millisecond)},
		"a report too old to go on":       {home: true, at: ago(1900 * time.Millisecond), unresponsive: unresponsive(-100 * time.Millisecond)},
	}
	reports["an instance with another home"] = instanceReport{at: now, unresponsive: unresponsive(time.Second)}
	if got := sumHealth(gather(reports, "core-0", now), nil).failing[memberKey{"svc", "m1"}]; got != 1 {
		t.Errorf("the member counts as failing at %d instances, want 1", got)
	}
}

// TestLeaderDoesNotReportToItself guards against a leader of control that counts what it has
// gathered twice: once more as its own report, which stays in force for seconds after a change.
func TestLeaderDoesNotReportToItself(t *testing.T) {
	g := startControlGroup(t, 3)
	g.put(testDocument{Version: 1})
	leader := g.all[g.findSeed(true)]
	name := leader.settings.Name
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		leader.clients.mu.Lock()
		known := leader.clients.leader == leader.settings.PeerAddr
		leader.clients.mu.Unlock()
		if known {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the others do not name the leader")
		}
	}
	leader.recordReport(&mesh.SyncRequest{
		Name: "front-1", Serves: true, Home: true, ProbedServices: []string{"svc"},
		UnresponsiveMembers: []mesh.UnresponsiveMember{{Service: "svc", ID: "m1", For: time.Second}},
	})
	for end := time.Now().Add(4 * urgentReportInterval); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r, ok := leader.reports.live(leader.deps.Now())[name]; ok {
			t.Fatalf("the leader received a report of its own: %+v", r.gathered)
		}
	}
}

// TestChangedHomeCountsOnce guards against an entry that counts at two control instances after it
// has changed its home: what one of two entries misses is then failing at most of them, and a
// primary that works is replaced.
func TestChangedHomeCountsOnce(t *testing.T) {
	g := startControlGroup(t, 3)
	g.put(testDocument{Version: 1})
	leader := g.findSeed(true)
	missing := []mesh.UnresponsiveMember{{Service: "svc", ID: "m1", For: time.Second}}
	report := func(control int, name string, homeSince int64, missing []mesh.UnresponsiveMember) {
		g.all[control].recordReport(&mesh.SyncRequest{
			Name: name, Serves: true, Home: true, HomeSince: homeSince, ProbedServices: []string{"svc"}, UnresponsiveMembers: missing,
		})
	}
	health := func() healthSummary { return g.all[leader].gatherHealth(g.all[leader].deps.Now()) }
	for end := time.Now().Add(10 * time.Second); health().probing["svc"] < 2; time.Sleep(20 * time.Millisecond) {
		report((leader+1)%3, "front-1", 1000, missing)
		report(leader, "front-2", 1000, nil)
		if time.Now().After(end) {
			t.Fatalf("the leader knows of %d instances that probe, want 2", health().probing["svc"])
		}
	}
	report(leader, "front-1", 2000, missing)
	for end := time.Now().Add(longPollWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		got := health()
		if n := got.probing["svc"]; n != 2 {
			t.Fatalf("%d instances count as probing, want 2", n)
		}
		if n := got.failing[memberKey{"svc", "m1"}]; n != 1 {
			t.Fatalf("m1 counts as failing at %d instances, want 1", n)
		}
	}
	// What the entry says at its new home goes before what the former one still knows.
	report(leader, "front-1", 2000, nil)
	if n := health().failing[memberKey{"svc", "m1"}]; n != 0 {
		t.Errorf("m1 answers again and counts as failing at %d instances", n)
	}
}

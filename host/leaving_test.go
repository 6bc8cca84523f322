package host

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/mesh"
	"tamarackcross/roster"
)

// TestLeavingOutlivesControl guards against a leaving server that gets a new grace because all control
// instances were started again: an entry that knows better tells them, and new entries learn it.
func TestLeavingOutlivesControl(t *testing.T) {
	now := time.Unix(1000, 0)
	server := roster.Entry{Service: "db", ID: "i-1", Born: 5, Seq: 1, Addr: "10.0.0.1:80", State: roster.Draining}
	table, memory := roster.New(), newLeavingMemory()
	table.Put(server, now)

	now = now.Add(3 * time.Second)
	control := roster.New(roster.WithStart(now.Add(-200 * time.Millisecond)))
	server.Seq = 2
	control.Announce(server, now)
	sent := control.Members("db")[0].ForRelay(now)
	table.Put(sent, now)
	memory.compare([]roster.Entry{sent}, table, now)
	for _, e := range memory.list(now) {
		control.Put(e, now)
	}
	if diff := cmp.Diff(3*time.Second, control.Members("db")[0].ForRelay(now).LeavingFor); diff != "" {
		t.Error(diff)
	}
	if rest := memory.list(now.Add(2 * leavingReportPeriod)); len(rest) > 0 {
		t.Errorf("control is told of %v for good", rest)
	}
}

// TestAgeOnTheWay guards against a reply that waited, at an entry that was frozen or behind a cut, and whose
// ages are taken for those of its arrival.
func TestAgeOnTheWay(t *testing.T) {
	reply := &mesh.SyncReply{
		HeldFor:       300 * time.Millisecond,
		RosterEntries: []roster.Entry{{ID: "leaving", State: roster.Draining, LeavingFor: time.Second}, {ID: "ready"}},
	}
	addTransit(reply, 4300*time.Millisecond)
	var got []time.Duration
	for _, e := range reply.RosterEntries {
		got = append(got, e.LeavingFor)
	}
	if diff := cmp.Diff([]time.Duration{5 * time.Second, 0}, got); diff != "" {
		t.Error(diff)
	}
}

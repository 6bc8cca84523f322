package host

import (
	"slices"
	"strings"
	"testing"
	"time"

	"tamarackcross/mesh"
)

func names(list []mesh.Peer) string {
	var out []string
	for _, p := range list {
		out = append(out, p.Name+"@"+p.Zone)
	}
	return strings.Join(out, " ")
}

// TestPeersOfAllZones guards against control instances that do not know the entries of other zones,
// forget them while they are cut off from each other, or list one that is leaving.
func TestPeersOfAllZones(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := map[string]*reportTable{"a": newReportTable(), "b": newReportTable()}
	entry := func(control, name string, r instanceReport) {
		r.zone, r.serves, r.allZones, r.addr, r.at = control, true, true, "addr-"+name, now
		tables[control].put(name, r)
	}
	// tell sends what one control instance knows to another, which has the list with the digest.
	tell := func(from, to string) {
		known := tables[from].summarize(now).known
		in := &mesh.SyncRequest{Name: from, KnownPeers: known.list, KnownPeersDigest: known.digest}
		if tables[to].knownDigest(from) == known.digest {
			in.KnownPeers = nil
		}
		tables[to].putKnown(in, now)
	}
	want := func(step, zone, want string) {
		t.Helper()
		in := &mesh.SyncRequest{Zone: zone, AllZones: true}
		if got := names(tables[zone].summarize(now).peersFor(in).list); got != want {
			t.Errorf("%s: entries of zone %s get %q, want %q", step, zone, got, want)
		}
	}
	report := func() {
		entry("a", "a1", instanceReport{})
		entry("a", "a2", instanceReport{})
		entry("b", "b1", instanceReport{})
	}
	report()
	want("alone", "a", "a1@ a2@")
	tell("b", "a")
	tell("a", "b")
	want("told", "a", "a1@ a2@ b1@b")
	want("told", "b", "a1@a a2@a b1@")
	entry("a", "a2", instanceReport{leaving: true})
	now = now.Add(summaryInterval)
	tell("a", "b")
	want("one leaves", "a", "a1@ b1@b")
	want("one leaves", "b", "a1@a b1@")
	for range 10 { // cut off
		now = now.Add(time.Second)
		report()
	}
	want("cut off", "b", "a1@a b1@")
	if got := names(tables["b"].summarize(now).peersFor(&mesh.SyncRequest{Zone: "b"}).list); got != "b1@" {
		t.Errorf("an entry that does not ask for all zones gets %q", got)
	}
	now = now.Add(knownRetention)
	report()
	want("cut off for long", "b", "b1@")
	tell("b", "a")
	want("told again", "a", "a1@ a2@ b1@b")
	now = now.Add(2 * reportTimeout)
	entry("a", "a1", instanceReport{})
	tell("b", "a") // no entry reports to b any more
	want("no entries", "a", "a1@")
}

// TestPeersAreRetained guards against holders that change because entries report to another control
// instance one after the other.
func TestPeersAreRetained(t *testing.T) {
	var m peerMemory
	now := time.Unix(1000, 0)
	all := []mesh.Peer{{Name: "e1"}, {Name: "e2"}, {Name: "e3", Zone: "b"}}
	for _, step := range []struct {
		after time.Duration
		list  []mesh.Peer
		want  []mesh.Peer
	}{
		{0, all, all},
		{time.Second, all[:1], all},
		{time.Second, all[1:2], all},
		{time.Second, all[:2], all[:2]},
		{time.Minute, all[:1], all[:1]},
	} {
		now = now.Add(step.after)
		if got := m.retain(step.list, now); !slices.Equal(got, step.want) {
			t.Errorf("after %s with %q: %q, want %q", step.after, names(step.list), names(got), names(step.want))
		}
	}
}

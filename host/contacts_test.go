package host

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/clock"
	"tamarackcross/mesh"
)

// TestChooseContacts guards against entries of a zone that report to different control instances,
// against one that calls more of them than it needs, and against one that calls none that answers.
func TestChooseContacts(t *testing.T) {
	contacts := func(unusable ...string) []contact {
		var out []contact
		for i, zone := range []string{"a", "b", "c", "d", "e"} {
			out = append(out, contact{addr: fmt.Sprint("core-", i), zone: zone, usable: true})
		}
		for _, addr := range unusable {
			for i := range out {
				if out[i].addr == addr || addr == "all" {
					out[i].usable = false
				}
			}
		}
		return out
	}
	chosen := func(all []contact) []string { return chooseContacts("b", all) }
	first := chosen(contacts())
	if len(first) != wantedContacts || first[0] != "core-1" {
		t.Fatalf("chosen %v, want the one of the zone and another one", first)
	}
	for _, tc := range []struct {
		unusable []string
		want     int
	}{{[]string{first[0]}, 3}, {[]string{first[1]}, 3}, {first, 4}, {[]string{"all"}, 5}} {
		got := chosen(contacts(tc.unusable...))
		if len(got) != tc.want {
			t.Errorf("without %v: chosen %v, want %d", tc.unusable, got, tc.want)
		}
		if diff := cmp.Diff(first, got[:wantedContacts]); diff != "" {
			t.Errorf("without %v: the best ones are not called any more: %s", tc.unusable, diff)
		}
	}
	reversed := contacts()
	for i := range reversed {
		reversed[i] = contacts()[len(reversed)-1-i]
	}
	if diff := cmp.Diff(first, chosen(reversed)); diff != "" {
		t.Error("the choice depends on the order of the list: " + diff)
	}
}

// TestHomeIsReplaced guards against an entry that goes on calling all control instances once two
// of them answer, and against one whose home is lost and which nobody counts any more.
func TestHomeIsReplaced(t *testing.T) {
	g := startControlGroup(t, 5)
	g.put(testDocument{Version: 1, Routes: randomRoutes(3)})
	e := g.startEntry(mesh.Dial)
	waitForVersion(t, e, 1)
	clients := func() (n int, home string) {
		e.control.mu.Lock()
		defer e.control.mu.Unlock()
		return len(e.control.byAddr), e.control.home
	}
	n, home := clients()
	for end := time.Now().Add(10 * time.Second); n != wantedContacts && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n, home = clients()
	}
	if n != wantedContacts {
		t.Fatalf("the entry calls %d control instances, want %d: %s", n, wantedContacts, describeClients(e.control))
	}
	i := slices.Index(g.peers, home)
	g.close(i)
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		counted := 0
		for j, c := range g.all {
			if j != i && len(gather(c.reports.live(clock.Now()), c.settings.Name, clock.Now()).Entries) > 0 {
				counted++
			}
		}
		if counted == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("3 s after the home was lost %d control instances count the entry, want 1", counted)
		}
	}
}

func describeClients(c *controlClients) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, out := c.now(), ""
	for addr, cc := range c.byAddr {
		out += fmt.Sprintf("[%s answered %v ago, led %t, wait %v] ", addr, now.Sub(cc.lastAnswer), cc.led, cc.wait)
	}
	return out + fmt.Sprint("wanted ", c.wantedAddrs(now))
}

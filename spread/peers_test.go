package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/spread"
	"tamarackcross/state"
)

// smallSite returns the core of n0, which knows the other instances of a site, and a function that
// publishes a change there and returns the names of the peers to which it is pushed.
func smallSite(t *testing.T, peers int) (c *spread.Core, publish func(state.Command, time.Time) map[string]bool) {
	t.Helper()
	machine, index := state.New(), uint64(0)
	c = spread.New(spread.Peer{Name: "n0", Zone: "z0"})
	publish = func(cmd state.Command, now time.Time) map[string]bool {
		index++
		pushed := make(map[string]bool)
		for _, a := range c.Publish(machine.Apply(state.Stamp{Term: 1, Index: index}, cmd).Delta, now) {
			if s, ok := a.(spread.Send); ok {
				pushed[s.Peer] = true
			}
		}
		return pushed
	}
	for i := range peers + 1 {
		publish(registration(i, 1), startTime)
	}
	return c, publish
}

func registration(i int, incarnation uint64) state.Command {
	return state.RegisterInstance{Instance: state.Instance{
		Name: fmt.Sprintf("n%d", i), Incarnation: incarnation, Zone: "z0", Addresses: []string{"127.0.0.1:1"}, Roles: []string{state.RoleEntry},
	}}
}

// TestChangeReachesNewInstance guards against a change that is not pushed to an instance of a small
// site which registered shortly before it, so that the instance goes on with old settings for seconds.
func TestChangeReachesNewInstance(t *testing.T) {
	_, publish := smallSite(t, 2)
	publish(registration(3, 1), startTime.Add(20*time.Millisecond))
	got := publish(registration(1, 2), startTime.Add(100*time.Millisecond))
	if diff := cmp.Diff(map[string]bool{"n1": true, "n2": true, "n3": true}, got); diff != "" {
		t.Error(diff)
	}
}

// TestSummariesReachEachPeer guards against summaries that go to the same peer again and again by
// chance, while another one has what the instance lacks.
func TestSummariesReachEachPeer(t *testing.T) {
	c, _ := smallSite(t, 2)
	now, last := startTime.Add(2*time.Second), ""
	c.Tick(now)
	for range 20 {
		now = c.NextTick(now)
		for _, a := range c.Tick(now) {
			s, ok := a.(spread.Send)
			if !ok {
				continue
			}
			if m, isSummary := s.Message.(spread.Summary); !isSummary || m.Purpose != spread.Probe {
				continue
			}
			if s.Peer == last {
				t.Fatalf("two summaries in a row to %s", last)
			}
			last = s.Peer
		}
	}
	if last == "" {
		t.Error("no summary was sent")
	}
}

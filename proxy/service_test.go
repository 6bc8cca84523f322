package proxy

import (
	"testing"
	"time"

	"tamarackcross/event"
	"tamarackcross/group"
	"tamarackcross/retry"
	"tamarackcross/roster"
)

// TestLagUnderFrequentProofs guards against a lag estimate that is too low for a
// replica that has stopped replicating. Reads that each take a proof, 200 a second for
// 20 s, add samples so fast that old ones are dropped, and the replica then seems to be
// behind only the oldest sample left.
func TestLagUnderFrequentProofs(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Server{now: func() time.Time { return now }, log: event.Nop()}
	v := &service{srv: s, log: s.log, members: map[string]*member{}, proofWaiters: map[*proofWaiter]struct{}{}, breakers: retry.NewGroup(1)}
	v.fetcher = newProofFetcher(v)
	m := newMember(t.Context(), nil, roster.Entry{ID: "m2"}, 4, s.now)
	primary := newMember(t.Context(), nil, roster.Entry{ID: "m1"}, 4, s.now)
	primary.prober = newProber(v, primary)
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		v.recordProof(primary, now, group.Position{Term: 1, Offset: uint64(i)})
	}
	v.updateLag(m, group.Position{Term: 1, Offset: 100})
	if got, want := m.estimatedLag(), 19*time.Second; got < want {
		t.Fatalf("estimated lag %v, want at least %v", got, want)
	}
}

package proxy

import (
	"testing"
	"time"

	"tamarackcross/event"
	"tamarackcross/group"
	"tamarackcross/retry"
	"tamarackcross/roster"
)

// TestLagUnderProofs replays a load of reads that each take a proof, 200 a second
// for 20 s, beside a replica that stands still. Samples that crowd each other out
// made it look less and less behind.
func TestLagUnderProofs(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Server{now: func() time.Time { return now }, log: event.Nop()}
	v := &service{srv: s, log: s.log, members: map[string]*member{}, waiting: map[*proofWaiter]struct{}{}, breakers: retry.NewGroup(1)}
	v.asker = newAsker(v)
	m := newMember(t.Context(), nil, roster.Entry{ID: "m2"}, 4, s.now)
	primary := newMember(t.Context(), nil, roster.Entry{ID: "m1"}, 4, s.now)
	primary.prober = newProber(v, primary)
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		v.proved(primary, now, group.Position{Term: 1, Offset: uint64(i)})
	}
	v.observe(m, group.Position{Term: 1, Offset: 100})
	if got, want := m.estimatedLag(), 19*time.Second; got < want {
		t.Fatalf("lag is estimated as %v, want at least %v", got, want)
	}
}

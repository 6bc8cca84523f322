package proxy

import (
	"os"
	"testing"
	"time"

	"tamarackcross/roster"
)

// TestProbeAcrossSuspension guards against an instance that was suspended and reports every
// server as unresponsive when it runs again, because its own probes ran out of time.
func TestProbeAcrossSuspension(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		took    time.Duration
		err     error
		failing bool
	}{
		{"answered", 10 * time.Millisecond, nil, false},
		{"refused", 10 * time.Millisecond, &Fault{Code: ReadOnly}, false},
		{"no answer", probeTimeout, os.ErrDeadlineExceeded, true},
		{"no connection, then no answer", 2 * probeTimeout, os.ErrDeadlineExceeded, true},
		{"suspended for 2 s", 2 * time.Second, os.ErrDeadlineExceeded, false},
	} {
		m := newMember(t.Context(), nil, roster.Entry{ID: "m1", Slots: 5}, 1, func() time.Time { return began.Add(tc.took) })
		m.recordProbe(tc.err, began, began.Add(tc.took))
		if got := m.failingFor(began.Add(tc.took)) > 0; got != tc.failing {
			t.Errorf("%s: failing %v, want %v", tc.name, got, tc.failing)
		}
	}
}

// TestSuspensionIsNotCounted guards against a server that failed one probe before this instance
// was suspended and is reported as unresponsive for the whole time.
func TestSuspensionIsNotCounted(t *testing.T) {
	began := time.Unix(1000, 0)
	ended := began.Add(4 * time.Second)
	m := newMember(t.Context(), nil, roster.Entry{ID: "m1", Slots: 5}, 1, func() time.Time { return ended })
	m.recordProbe(os.ErrDeadlineExceeded, began.Add(-time.Second), began.Add(-time.Second+probeTimeout))
	m.recordProbe(os.ErrDeadlineExceeded, began, ended)
	if got := m.failingFor(ended); got > 0 {
		t.Errorf("failing for %v, want 0", got)
	}
}

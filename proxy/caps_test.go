package proxy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestUnitToken guards against a token that is spent twice, or that another instance takes for
// younger than it is.
func TestUnitToken(t *testing.T) {
	now := time.Unix(1000, 0)
	type result struct {
		Spent bool
		Age   time.Duration
	}
	sent := func(answers []Answer, err error) result {
		w := operation{session: &session{token: unitToken{takenAt: now.Add(-time.Second)}}}
		w.spendToken(answers, err)
		token := tokenOfAge(w.session.token.age(now), now.Add(time.Minute))
		return result{token.spent, w.session.token.age(now)}
	}
	got := []result{
		sent([]Answer{{}}, nil),
		sent([]Answer{{Fault: fault(Busy, "")}}, nil),
		sent([]Answer{{Fault: fault(ExecFailed, "")}}, nil),
		sent(nil, ErrNotSent),
		sent(nil, errUnconfirmed),
	}
	want := []result{{true, spentToken}, {false, time.Second}, {true, spentToken}, {false, time.Second}, {true, spentToken}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestFreezeWatch guards against requests that were forwarded to an instance while it stood still and
// are sent by old tokens.
func TestFreezeWatch(t *testing.T) {
	var f freezeWatch
	now := time.Unix(1000, 0)
	f.tickedAt.Store(now.UnixNano())
	got := []bool{f.recent(now.Add(freezeGap)), f.recent(now.Add(freezeGap + 1))}
	f.endedAt.Store(now.UnixNano())
	got = append(got, f.recent(now.Add(1)))
	f.tickedAt.Store(now.Add(afterFreeze).UnixNano())
	got = append(got, f.recent(now.Add(afterFreeze)))
	if diff := cmp.Diff([]bool{false, true, true, false}, got); diff != "" {
		t.Error(diff)
	}
}

package proxy

import (
	"testing"
	"time"

	"tamarackcross/errs"
)

// TestCallerLeavesQueue guards against work that nobody waits for: the request of a caller that has
// left is taken out of the queue, and does not start when a slot becomes free.
func TestCallerLeavesQueue(t *testing.T) {
	q := newAdmissionQueue(1, time.Now)
	request := admissionRequest{startBy: time.Now().Add(time.Minute)}
	running, err := q.acquire(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	request.gone = func() bool { return true }
	_, err = q.acquire(t.Context(), request)
	if e := errs.As(err); e == nil || e.Reason() != errs.ReasonCancelled || e.Outcome() != errs.NotRun {
		t.Errorf("error %v, want that the request was cancelled and has not run", err)
	}
	if n := q.load(); n != 1 {
		t.Errorf("%d requests run or wait, want the one that runs", n)
	}
	running.release()
	if n := q.load(); n != 0 {
		t.Errorf("%d requests run or wait, want none", n)
	}
}

// TestCallerLeavesAsItsTurnComes guards against a request that starts although its caller left while
// it waited.
func TestCallerLeavesAsItsTurnComes(t *testing.T) {
	q := newAdmissionQueue(1, time.Now)
	running, err := q.acquire(t.Context(), admissionRequest{startBy: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	checks := 0
	waiting := admissionRequest{startBy: time.Now().Add(time.Minute), gone: func() bool {
		if checks++; checks == 1 {
			running.release() // its turn comes at this moment
			return false
		}
		return true
	}}
	if _, err := q.acquire(t.Context(), waiting); err != errCallerLeft {
		t.Errorf("error %v, want that the caller has left", err)
	}
	if n := q.load(); n != 0 {
		t.Errorf("%d requests run or wait, want none", n)
	}
}

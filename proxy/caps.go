package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"tamarackcross/caps"
	"tamarackcross/config"
	"tamarackcross/errs"
)

// Caps limits how many operations of a customer all instances together send to backend servers.
type Caps interface {
	// Configure puts the caps of a document in force. It is called before requests run by it.
	Configure(doc *config.Document)
	// Take takes a token for one operation of a customer, which may be sent within
	// caps.SendWithin. priority is that of its route. It waits at most until the given time for an
	// answer of the owner of the caps. An errs.Error tells when there will be a token.
	Take(ctx context.Context, customer string, priority int, until time.Time) error
}

// WithCaps sets the caps of customers. Without them, customers are not limited.
func WithCaps(c Caps) Option { return func(s *Server) { s.caps = c } }

// unitToken is the token of a unit of work: a statement outside a transaction, or a transaction.
// The instance of the caller takes it before the unit is routed or forwarded. Whichever instance
// sends the unit to a backend server spends it, and takes another one if it is too old or was
// spent by an attempt that may have run.
type unitToken struct {
	takenAt time.Time
	spent   bool
}

// spentToken stands for the age of a token that was spent.
const spentToken = time.Duration(-1)

// age returns the age of the token, for another instance.
func (t unitToken) age(now time.Time) time.Duration {
	if t.spent {
		return spentToken
	}
	return max(0, now.Sub(t.takenAt))
}

// tokenOfAge returns the token that another instance took.
func tokenOfAge(age time.Duration, now time.Time) unitToken {
	if age < 0 {
		return unitToken{spent: true}
	}
	return unitToken{takenAt: now.Add(-age)}
}

// capped reports whether the session runs in the name of a customer where customers have caps.
func (s *session) capped() bool { return s.srv.caps != nil && s.customer != "" }

// takeUnitToken takes the token of a unit of work at the instance of the caller.
func (w *operation) takeUnitToken(ctx context.Context) *Fault {
	s := w.session
	if !s.capped() || s.forwardedRoute != nil {
		return nil
	}
	if err := w.takeToken(ctx, w.admitBy()); err != nil {
		return w.reject(err.Reason())
	}
	return nil
}

func (w *operation) takeToken(ctx context.Context, until time.Time) *errs.Error {
	s := w.session
	err := s.srv.caps.Take(ctx, s.customer, w.route.Priority, until)
	if e := errs.As(err); e != nil {
		w.retryAfter = e.RetryAfter()
		return e
	}
	if err != nil {
		return errs.New(errs.NotRun, errs.ReasonCap, err.Error())
	}
	s.token = unitToken{takenAt: w.now()}
	return nil
}

// requireToken returns an error unless the unit of work has a token that was not spent and is not
// too old. It does not wait.
func (w *operation) requireToken(ctx context.Context) error {
	s := w.session
	fresh := !s.token.spent && w.now().Sub(s.token.takenAt) <= caps.SendWithin && !(s.forwardedRoute != nil && s.srv.freezes.recent(w.now()))
	if !s.capped() || fresh {
		return nil
	}
	if err := w.takeToken(ctx, w.now()); err != nil {
		return err
	}
	return nil
}

// spendToken records an attempt to send the first statement of a unit of work. The attempt did not
// spend the token if it is known not to have run.
func (w *operation) spendToken(answers []Answer, err error) {
	s := w.session
	switch {
	case err != nil:
		s.token.spent = !errors.Is(err, ErrNotSent)
	default:
		last := answers[len(answers)-1].Fault
		s.token.spent = last == nil || !last.Code.notRun()
	}
}

const (
	// freezeTick is the time between the ticks by which an instance notices that it stood still, and
	// freezeGap the least time between two of them that counts as such.
	freezeTick = 100 * time.Millisecond
	freezeGap  = 300 * time.Millisecond
	// afterFreeze is how long after that forwarded requests may have waited unread meanwhile.
	afterFreeze = time.Second
)

// freezeWatch notices that the instance stood still. The age of tokens of requests that were
// forwarded to it meanwhile is not known.
type freezeWatch struct {
	tickedAt atomic.Int64 // in ns of the clock of the server; 0 before the first tick
	endedAt  atomic.Int64 // end of the last freeze, or 0
}

// run ticks until ctx ends.
func (f *freezeWatch) run(ctx context.Context, now func() time.Time) {
	t := time.NewTicker(freezeTick)
	defer t.Stop()
	for {
		at := now().UnixNano()
		if last := f.tickedAt.Swap(at); last != 0 && at-last > int64(freezeGap) {
			f.endedAt.Store(at)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// recent reports whether the instance may have stood still a moment ago.
func (f *freezeWatch) recent(now time.Time) bool {
	last, ended := f.tickedAt.Load(), f.endedAt.Load()
	return last != 0 && now.UnixNano()-last > int64(freezeGap) || ended != 0 && now.UnixNano()-ended < int64(afterFreeze)
}

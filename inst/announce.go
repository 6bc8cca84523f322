package inst

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/admin"
	"tamarackcross/ctrl"
	"tamarackcross/pgctl"
	"tamarackcross/state"
)

const (
	expireInterval = 500 * time.Millisecond // between looks for announcements that ran out
	expireProbe    = time.Second            // for the probe before a member is declared gone
	announceLimit  = 3 * time.Second        // for an announcement to be logged
)

// announcements takes in what backend servers announce to this instance. A
// renewal that changes nothing stays here; only changes reach the log.
type announcements struct {
	views  *Views
	client *ctrl.Client
	dial   pgctl.DialFunc
	cred   string

	mu      sync.Mutex
	renewed map[memberKey]renewal
}

type renewal struct {
	a     admin.Announcement
	until time.Time
}

func newAnnouncements(v *Views, c *ctrl.Client, dial pgctl.DialFunc, password string) *announcements {
	return &announcements{views: v, client: c, dial: dial, cred: password, renewed: make(map[memberKey]renewal)}
}

// Announce takes in one announcement.
func (s *announcements) Announce(ctx context.Context, a admin.Announcement) error {
	ctx, stop := context.WithTimeout(ctx, announceLimit)
	defer stop()
	s.renew(a, time.Now())
	m, known := s.known(a)
	if !known || m.Gone || s.differs(m, a) {
		if err := s.propose(ctx, announceOf(a)); err != nil {
			return err
		}
	}
	if a.Leaving && !(known && m.Leaving && m.Incarnation == a.Incarnation) {
		return s.propose(ctx, state.Leave{Database: a.Database, Member: a.Instance, Incarnation: a.Incarnation})
	}
	return nil
}

func announceOf(a admin.Announcement) state.Announce {
	return state.Announce{
		Database: a.Database, Member: a.Instance, Incarnation: a.Incarnation, Store: a.Store, Zone: a.Zone,
		Address: a.Address, Slots: uint32(a.Slots), Connections: uint32(a.Connections),
	}
}

func (s *announcements) renew(a admin.Announcement, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(a.TTLMillis) * time.Millisecond
	s.renewed[memberKey{a.Database, a.Instance}] = renewal{a: a, until: now.Add(ttl)}
}

func (s *announcements) known(a admin.Announcement) (state.Member, bool) {
	return s.views.member(memberKey{a.Database, a.Instance})
}

func (s *announcements) differs(m state.Member, a admin.Announcement) bool {
	c := announceOf(a)
	return m.Incarnation != c.Incarnation || m.Store != c.Store || m.Zone != c.Zone || m.Address != c.Address ||
		m.Slots != c.Slots || m.Connections != c.Connections
}

// errRefused reports that the state machine refused a command.
var errRefused = eris.New("refused")

func (s *announcements) propose(ctx context.Context, cmd state.Command) error {
	result, err := s.client.Propose(ctx, cmd)
	if err != nil {
		return err
	}
	if r, ok := result.(state.Refused); ok {
		return eris.Wrapf(errRefused, "%s %s", r.Reason, r.Detail)
	}
	return nil
}

// run declares members gone whose announcements ran out. A member that still
// answers is kept: it may renew through another instance.
func (s *announcements) run(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		for _, a := range s.expired(time.Now()) {
			s.expire(ctx, a)
		}
	}
}

func (s *announcements) expired(now time.Time) []admin.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []admin.Announcement
	for k, r := range s.renewed {
		if now.After(r.until) {
			out = append(out, r.a)
			delete(s.renewed, k)
		}
	}
	return out
}

func (s *announcements) expire(ctx context.Context, a admin.Announcement) {
	m, ok := s.known(a)
	if !ok || m.Gone || m.Incarnation != a.Incarnation {
		return
	}
	if s.answers(ctx, a) {
		return
	}
	pctx, stop := context.WithTimeout(ctx, announceLimit)
	defer stop()
	err := s.propose(pctx, state.Expire{Database: a.Database, Member: a.Instance, Incarnation: a.Incarnation})
	if err != nil {
		s.renew(a, time.Now()) // looked at again after another time to live
	}
}

func (s *announcements) answers(ctx context.Context, a admin.Announcement) bool {
	ctx, stop := context.WithTimeout(ctx, expireProbe)
	defer stop()
	c, err := pgctl.Dial(ctx, s.dial, pgctl.Target{Addr: a.Address, Database: a.Database, Password: s.cred})
	if err != nil {
		return false
	}
	defer c.Close()
	_, err = c.Status(ctx)
	return err == nil
}

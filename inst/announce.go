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
	expiryCheckInterval = 500 * time.Millisecond // between checks for expired announcements
	expiryProbeTimeout  = time.Second            // for the probe before a member is declared gone
	proposeTimeout      = 3 * time.Second        // for a command to be committed to the control log
)

// announcements processes the announcements that backend servers send to this
// instance. A renewal that changes nothing is only recorded here; changes are
// proposed to the control log.
type announcements struct {
	views    *Views
	client   *ctrl.Client
	dial     pgctl.DialFunc
	password string

	mu       sync.Mutex
	renewals map[memberKey]renewal
}

type renewal struct {
	announcement admin.Announcement
	expires      time.Time
}

func newAnnouncements(v *Views, c *ctrl.Client, dial pgctl.DialFunc, password string) *announcements {
	return &announcements{views: v, client: c, dial: dial, password: password, renewals: make(map[memberKey]renewal)}
}

// Announce processes one announcement.
func (s *announcements) Announce(ctx context.Context, a admin.Announcement) error {
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	s.renew(a, time.Now())
	m, known := s.member(a)
	if !known || m.Gone || s.differs(m, a) {
		if err := s.propose(ctx, announceCommand(a)); err != nil {
			return err
		}
	}
	if a.Leaving && !(known && m.Leaving && m.Incarnation == a.Incarnation) {
		return s.propose(ctx, state.Leave{Database: a.Database, Member: a.Instance, Incarnation: a.Incarnation})
	}
	return nil
}

func announceCommand(a admin.Announcement) state.Announce {
	return state.Announce{
		Database: a.Database, Member: a.Instance, Incarnation: a.Incarnation, Store: a.Store, Zone: a.Zone,
		Address: a.Address, Slots: uint32(a.Slots), Connections: uint32(a.Connections),
	}
}

func (s *announcements) renew(a admin.Announcement, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(a.TTLMillis) * time.Millisecond
	s.renewals[memberKey{a.Database, a.Instance}] = renewal{announcement: a, expires: now.Add(ttl)}
}

func (s *announcements) member(a admin.Announcement) (state.Member, bool) {
	return s.views.member(memberKey{a.Database, a.Instance})
}

func (s *announcements) differs(m state.Member, a admin.Announcement) bool {
	c := announceCommand(a)
	return m.Incarnation != c.Incarnation || m.Store != c.Store || m.Zone != c.Zone || m.Address != c.Address ||
		m.Slots != c.Slots || m.Connections != c.Connections
}

// errRefused is returned for a command that the control state machine refused.
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

// run declares members gone whose announcements have expired, until ctx ends. A
// member that still answers a probe is kept, since it may announce itself to
// another instance.
func (s *announcements) run(ctx context.Context) error {
	t := time.NewTicker(expiryCheckInterval)
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
	for k, r := range s.renewals {
		if now.After(r.expires) {
			out = append(out, r.announcement)
			delete(s.renewals, k)
		}
	}
	return out
}

func (s *announcements) expire(ctx context.Context, a admin.Announcement) {
	m, ok := s.member(a)
	if !ok || m.Gone || m.Incarnation != a.Incarnation {
		return
	}
	if s.responds(ctx, a) {
		return
	}
	pctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	err := s.propose(pctx, state.Expire{Database: a.Database, Member: a.Instance, Incarnation: a.Incarnation})
	if err != nil {
		s.renew(a, time.Now()) // tried again after another time to live
	}
}

func (s *announcements) responds(ctx context.Context, a admin.Announcement) bool {
	ctx, stop := context.WithTimeout(ctx, expiryProbeTimeout)
	defer stop()
	c, err := pgctl.Dial(ctx, s.dial, pgctl.Target{Addr: a.Address, Database: a.Database, Password: s.password})
	if err != nil {
		return false
	}
	defer c.Close()
	_, err = c.Status(ctx)
	return err == nil
}

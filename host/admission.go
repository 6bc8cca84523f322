package host

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/ledger"
	"tamarackcross/mesh"
	"tamarackcross/raft"
	"tamarackcross/roster"
)

// A new member receives commits from the acknowledgement of its first announcement on. Where commits wait
// for replicas, the old primary could acknowledge what the new member alone has received, while another
// member is being promoted. So the leader of control, which decides on promotions, admits new members. It records
// them in the control log first, so that later leaders know of them.

// ErrNotAdmitted is returned for a backend server that must not receive commits yet.
var ErrNotAdmitted = eris.New("a promotion is under way; the backend server has to announce itself again")

// waitingRetention is how long a server that asked to be admitted counts as waiting: two heartbeat intervals
// and a margin.
const waitingRetention = 3 * time.Second

// admission decides which starts of backend servers are admitted while this instance leads.
type admission struct {
	mu      sync.Mutex
	term    raft.Term                           // in which the services are open
	open    map[string]bool                     // services that admit new members
	waiting map[string]map[string]waitingServer // by service and ID
}

type waitingServer struct {
	entry   roster.Entry
	askedAt time.Time
}

func newAdmission() *admission {
	return &admission{open: make(map[string]bool), waiting: make(map[string]map[string]waitingServer)}
}

// setOpen sets whether a service admits new members in a term of this leader.
func (a *admission) setOpen(service string, term raft.Term, open bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.term != term {
		a.term = term
		clear(a.open)
	}
	a.open[service] = open
}

// admit adds a server to the roster with add if its service is open in the term. Otherwise the server is
// recorded as waiting.
func (a *admission) admit(e roster.Entry, term raft.Term, now time.Time, add func(roster.Entry)) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.term == term && a.open[e.Service] {
		delete(a.waiting[e.Service], e.ID)
		add(e) // within the lock: a view that is taken after the service was closed has it
		return true
	}
	if a.waiting[e.Service] == nil {
		a.waiting[e.Service] = make(map[string]waitingServer)
	}
	a.waiting[e.Service][e.ID] = waitingServer{entry: e, askedAt: now}
	return false
}

// withWaiting returns the listed servers of a service, and those that wait. One that was started again and waits
// takes the place of its earlier start.
func (a *admission) withWaiting(service string, listed []roster.Entry, now time.Time) []roster.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.waiting[service], func(_ string, w waitingServer) bool { return now.Sub(w.askedAt) > waitingRetention })
	if len(a.waiting[service]) == 0 {
		return listed
	}
	out := slices.DeleteFunc(slices.Clone(listed), func(e roster.Entry) bool {
		w, waits := a.waiting[service][e.ID]
		return waits && w.entry.Born > e.Born
	})
	for id, w := range a.waiting[service] {
		if !slices.ContainsFunc(out, func(e roster.Entry) bool { return e.ID == id }) {
			out = append(out, w.entry)
		}
	}
	slices.SortFunc(out, func(a, b roster.Entry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// needsAdmission reports whether the leader decides on a server. An instance that has no configuration yet
// asks if it knows a leader.
func (c *Controller) needsAdmission(e roster.Entry) bool {
	if c.roster.Knows(e.Incarnation()) {
		return false
	}
	if doc := c.document(); doc != nil {
		return doc.Services[e.Service].SyncReplicas > 0
	}
	return c.leaderAddr() != "" && !c.settings.Bootstrap
}

// admitTimeout bounds the question to the leader. A backend server waits for one second.
const admitTimeout = 500 * time.Millisecond

// admit asks the leader to admit a server.
func (c *Controller) admit(ctx context.Context, e roster.Entry) error {
	if c.isLeader() {
		if !c.admitLocally(ctx, e) {
			return ErrNotAdmitted
		}
		return nil
	}
	addr := c.leaderAddr()
	if addr == "" {
		return errors.Join(ErrNotAdmitted, ErrNoLeader)
	}
	ctx, stop := context.WithTimeout(ctx, admitTimeout)
	defer stop()
	client := mesh.NewClient(addr, mesh.Dial)
	defer client.Close()
	reply, err := client.Admit(ctx, &mesh.AdmitRequest{Server: e})
	switch {
	case err != nil:
		return errors.Join(ErrNotAdmitted, err)
	case !reply.Admitted:
		return ErrNotAdmitted
	}
	return nil
}

// admitLocally admits a server unless a promotion forbids it or this instance may not lead any more. A service
// whose commits wait for no replica, or whose primary control does not replace, is always open.
func (c *Controller) admitLocally(ctx context.Context, e roster.Entry) bool {
	if !c.mayAdmit() {
		return false
	}
	if doc := c.document(); doc == nil || doc.Services[e.Service].SyncReplicas == 0 || c.deps.Promoter == nil {
		c.announce(e)
		return true
	}
	if err := c.recordMember(ctx, e); err != nil {
		c.deps.Log.Warn().Err(err).Str("service", e.Service).Str("member", e.ID).Msg("backend server could not be recorded as a member of its service, so that it is not admitted")
		return false
	}
	if !c.mayAdmit() {
		return false
	}
	admitted := c.admission.admit(e, c.node.Status().Term, c.deps.Now(), c.announce)
	c.deps.Log.Info().Str("service", e.Service).Str("member", e.ID).Int64("born", e.Born).Bool("admitted", admitted).
		Msg("backend server asked to be admitted; while a promotion may take effect it has to wait")
	return admitted
}

var errEnded = eris.New("this start of the backend server has left")

// recordMember records a server as a member of its service, unless it is recorded already.
func (c *Controller) recordMember(ctx context.Context, e roster.Entry) error {
	m := ledger.Member{ID: e.ID, Born: e.Born, Addr: e.Addr}
	recorded := c.ledger.Members(e.Service)
	ended := m
	ended.State = ledger.Ended
	switch {
	case slices.Contains(recorded, ended):
		return errEnded
	case slices.Contains(recorded, m):
		return nil
	}
	_, err := c.propose(ctx, ledger.RecordMembers{Service: e.Service, Members: []ledger.Member{m}})
	return err
}

// mayAdmit reports whether this instance leads and knows all that was recorded before.
func (c *Controller) mayAdmit() bool {
	st := c.node.Status()
	return st.Role == raft.Leader && st.Current && c.deps.Now().Sub(st.ConfirmedAt) < leaderValidity
}

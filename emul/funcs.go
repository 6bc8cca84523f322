package emul

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"tamarackcross/group"
)

// Names of the group functions.
const (
	groupPrefix = "group_"
	statusName  = "group_status"
	watchName   = "group_watch"
	confirmName = "group_confirm"
	fenceName   = "group_fence"
	promoteName = "group_promote"
	followName  = "group_follow"
	fetchName   = "group_fetch"
)

// Columns of the group functions.
var (
	statusColumns = []string{"member", "store", "role", "term", "fenced_term", "held", "applied", "majority", "history"}
	watchColumns  = []string{"member", "held", "applied", "majority"}
	followColumns = []string{"held", "synced", "discarded"}
	fetchColumns  = []string{"round", "position", "changes"}
)

// executeGroup runs SHOW or a group function. Neither needs a slot.
func (s *session) executeGroup(ctx context.Context, p *portal, limit int) error {
	if p.cursor == nil {
		rows, err := s.groupRows(ctx, p)
		if err != nil {
			return err
		}
		p.cursor = rowsCursor(columnsOf(p.stmt), rows)
		if p.describe {
			s.sendRowDescription(p.cursor.cols, p.formats)
		}
	}
	return s.stream(ctx, p, limit)
}

func (s *session) groupRows(ctx context.Context, p *portal) ([][]string, error) {
	st, ok := p.stmt.(callStmt)
	if !ok {
		return s.showRows(p.stmt.(showStmt)), nil
	}
	if !s.privileged {
		return nil, errPermission
	}
	switch st.name {
	case watchName:
		return s.m.callWatch(ctx, st, p.params)
	case appliedName:
		return s.m.callApplied(ctx, st, p.params)
	case confirmName:
		return s.m.callConfirm(ctx, st, p.params)
	case fenceName:
		return s.m.callFence(st, p.params)
	case promoteName:
		return s.m.callPromote(st, p.params)
	case followName:
		return s.m.callFollow(ctx, st, p.params)
	case fetchName:
		return s.m.callFetch(ctx, s.pid, st, p.params)
	}
	return nil, &Error{sqlStateNoFunction, "function " + st.name + " does not exist"}
}

func (s *session) showRows(st showStmt) [][]string {
	if st.name == statusName {
		return [][]string{s.m.Status().row()}
	}
	return [][]string{{s.settingValue(st.name)}}
}

func (st Status) row() []string {
	return []string{
		st.Member,
		st.Store,
		string(st.Role),
		strconv.FormatUint(st.Term, 10),
		strconv.FormatUint(st.FencedTerm, 10),
		st.Held.String(),
		st.Applied.String(),
		st.Majority.String(),
		st.History.String(),
	}
}

// callWatch runs group_watch(after, timeout_ms). It returns the positions of all
// known members once the majority position is beyond after or the timeout has
// passed. after is an offset or a position.
func (m *Member) callWatch(ctx context.Context, st callStmt, params []string) ([][]string, error) {
	passed, timeout, err := st.waitArgs(params)
	if err != nil {
		return nil, err
	}
	var answer [][]string
	err = m.awaitTimeout(ctx, timeout, func() bool {
		answer = nil
		if m.role != Primary {
			return true
		}
		answer = m.watchRows()
		return passed(m.majorityPosition())
	})
	if err == nil && answer == nil {
		err = errNotPrimaryOfTerm
	}
	return answer, err
}

// positionAfter parses the argument after of a call that waits for a position. It
// returns a function that reports whether a position is beyond it.
func positionAfter(text string) (func(group.Position) bool, error) {
	if strings.Contains(text, "/") {
		after, err := group.ParsePosition(text)
		if err != nil {
			return nil, &Error{sqlStateInvalidParameter, messageOf(err)}
		}
		return after.Less, nil
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, errNotNumber
	}
	return func(p group.Position) bool { return p.Offset > after }, nil
}

// awaitTimeout waits until cond holds under mu or the timeout has passed. It fails
// only if ctx ends.
func (m *Member) awaitTimeout(ctx context.Context, timeout time.Duration, cond func() bool) error {
	m.mu.Lock()
	ok := cond()
	m.mu.Unlock()
	if ok {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.await(limited, cond)
	if ctx.Err() != nil {
		return cancelError(ctx)
	}
	return nil
}

// watchRows returns one row for each known member, ordered by name. The caller holds
// mu.
func (m *Member) watchRows() [][]string {
	majority := m.majorityPosition().String()
	rows := [][]string{{m.name, m.held().String(), m.appliedPosition().String(), majority}}
	for name, a := range m.acks {
		rows = append(rows, []string{name, a.held.String(), a.applied.String(), majority})
	}
	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return rows
}

// callConfirm runs group_confirm(term, offset, timeout_ms).
func (m *Member) callConfirm(ctx context.Context, st callStmt, params []string) ([][]string, error) {
	term, err := st.uintArg(0, params)
	if err != nil {
		return nil, err
	}
	offset, err := st.uintArg(1, params)
	if err != nil {
		return nil, err
	}
	timeout, err := st.millisArg(2, params)
	if err != nil {
		return nil, err
	}
	ok, err := m.confirm(ctx, term, offset, timeout)
	return [][]string{{boolText(ok)}}, err
}

// confirm starts a round and waits until a majority of the group has answered it and
// holds offset. It reports false after the timeout, or if the member is not the
// primary of term.
func (m *Member) confirm(ctx context.Context, term, offset uint64, timeout time.Duration) (bool, error) {
	round, ok := m.startRound(term)
	if !ok {
		return false, nil
	}
	confirmed := false
	err := m.awaitTimeout(ctx, timeout, func() bool {
		if !m.isPrimaryOf(term) {
			return true
		}
		confirmed = m.majorityPosition().Offset >= offset && m.roundAnswered(round)
		return confirmed
	})
	return confirmed && err == nil, err
}

func (m *Member) startRound(term uint64) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryOf(term) {
		return 0, false
	}
	m.round++
	m.notify()
	return m.round, true
}

// isPrimaryOf reports whether the member is the primary of term. The caller holds mu.
func (m *Member) isPrimaryOf(term uint64) bool {
	return m.role == Primary && m.term == term && m.fencedTerm <= term
}

// roundAnswered reports whether a majority, including the member itself, has
// answered the round. The caller holds mu.
func (m *Member) roundAnswered(round uint64) bool {
	n := 1
	for _, a := range m.acks {
		if a.round >= round {
			n++
		}
	}
	return n >= m.quorum()
}

func (m *Member) callFence(st callStmt, params []string) ([][]string, error) {
	term, err := st.uintArg(0, params)
	if err != nil {
		return nil, err
	}
	held, err := m.Fence(term)
	return [][]string{{held.String()}}, err
}

func (m *Member) callPromote(st callStmt, params []string) ([][]string, error) {
	term, err := st.uintArg(0, params)
	if err != nil {
		return nil, err
	}
	text, err := st.textArg(1, params)
	if err != nil {
		return nil, err
	}
	h, err := group.ParseHistory(text)
	if err != nil {
		return nil, &Error{sqlStateInvalidParameter, messageOf(err)}
	}
	if err := m.Promote(term, h); err != nil {
		return nil, err
	}
	return [][]string{{m.Status().Held.String()}}, nil
}

func (m *Member) callFollow(ctx context.Context, st callStmt, params []string) ([][]string, error) {
	term, err := st.uintArg(0, params)
	if err != nil {
		return nil, err
	}
	addr, err := st.textArg(1, params)
	if err != nil {
		return nil, err
	}
	r, err := m.Follow(ctx, term, addr)
	if err != nil {
		return nil, err
	}
	discarded := make([]string, len(r.Discarded))
	for i, p := range r.Discarded {
		discarded[i] = p.String()
	}
	return [][]string{{r.Held.String(), boolText(r.Synced), strings.Join(discarded, ",")}}, nil
}

func boolText(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

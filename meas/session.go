package meas

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"tamarackcross/errs"
)

const (
	replicasTable = "sessions"
	queryLimit    = 10 * time.Second // for one answer
)

// reasonCounts counts refusals by reason.
type reasonCounts map[errs.Reason]int64

// session writes increasing values to a row of its own and reads them back
// through changing entries, with its token. A read must never return a value
// older than one that the session has written or read before.
type session struct {
	r        *replicas
	name     string
	database string
	rnd      *rand.Rand
	lines    []*line // by entry, opened when first used
	token    string
	next     int64 // value of the next write
	floor    int64 // oldest value that a read may return

	offered, checked, older, errors int64
	refused                         reasonCounts
	reads, writes                   latencies
}

func newSeeded(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func newSession(r *replicas, i int) *session {
	dbs := r.profile.Plan.Databases
	s := &session{
		r: r, name: fmt.Sprintf("session-%d", i), database: dbs[i%len(dbs)],
		rnd: newSeeded(r.o.Seed, uint64(i)+100), lines: make([]*line, len(r.b.addrs)), next: 1,
	}
	s.forget()
	return s
}

func closeSessions(all []*session) {
	for _, s := range all {
		for i := range s.lines {
			s.leave(i)
		}
	}
}

// forget drops the figures of the warm-up, but not what the session has seen.
func (s *session) forget() {
	s.offered, s.checked, s.older, s.errors = 0, 0, 0, 0
	s.refused = make(reasonCounts)
	s.reads, s.writes = newLatencies(), newLatencies()
}

// think waits before the next request and reports whether ctx lasted.
func (s *session) think(ctx context.Context) bool {
	d := min(s.rnd.ExpFloat64(), 3) * float64(replicasThink)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(d)):
		return true
	}
}

// step sends one request through some entry. The first one is a write.
func (s *session) step(arrived time.Time) {
	s.offered++
	i := s.rnd.IntN(len(s.lines))
	write := s.rnd.Float64() < replicasWrites || s.next == 1
	l, err := s.enter(i)
	if err != nil {
		s.errors++
		return
	}
	if write {
		s.write(i, l, arrived)
		return
	}
	s.read(i, l, arrived)
}

// enter returns the connection to an entry.
func (s *session) enter(i int) (*line, error) {
	if s.lines[i] != nil {
		return s.lines[i], nil
	}
	ctx, stop := context.WithTimeout(context.Background(), dialLimit)
	defer stop()
	dial := callerDialer(s.r.b.s.Network(), s.name)
	l, err := openLine(ctx, dial, s.r.b.addrs[i], s.database)
	if err == nil {
		s.lines[i] = l
	}
	return l, err
}

func (s *session) leave(i int) {
	if s.lines[i] != nil {
		s.lines[i].close()
		s.lines[i] = nil
	}
}

// query carries the token along and keeps the newer one. The baseline has no
// tokens.
func (s *session) query(i int, l *line, sql string) (answer, error) {
	_ = l.nc.SetDeadline(time.Now().Add(queryLimit))
	if s.token != "" && s.token != l.token {
		sql = "SET " + tokenSetting + " = '" + s.token + "'; " + sql
	}
	a, err := l.query(sql)
	if err != nil {
		s.r.o.Log.Error().Err(err).Str("session", s.name).Msg("connection of a session ended")
		s.errors++
		s.leave(i)
		return a, err
	}
	if l.token != "" {
		s.token = l.token
	}
	return a, nil
}

func (s *session) write(i int, l *line, arrived time.Time) {
	v := s.next
	s.next++
	a, err := s.query(i, l, fmt.Sprintf("INSERT INTO %s (k, v) VALUES ('%s', '%d') ON CONFLICT (k) DO UPDATE SET v = '%d'",
		replicasTable, s.name, v, v))
	if err != nil || !s.accepted(a) {
		return
	}
	s.writes.add(time.Since(arrived))
	s.floor = v
}

func (s *session) read(i int, l *line, arrived time.Time) {
	a, err := s.query(i, l, "SELECT v FROM "+replicasTable+" WHERE k = '"+s.name+"'")
	if err != nil || !s.accepted(a) {
		return
	}
	s.reads.add(time.Since(arrived))
	s.checked++
	// A missing row counts as 0, older than any value.
	v, _ := strconv.ParseInt(a.value, 10, 64)
	if v < s.floor {
		s.older++
	}
	s.floor = max(s.floor, v)
}

// accepted reports whether an answer has no error, and counts it otherwise.
func (s *session) accepted(a answer) bool {
	switch verdict, reason := judge(a, nil); verdict {
	case answered:
		return true
	case refused, unknown:
		s.refused[reason]++
	default:
		s.r.o.Log.Warn().Str("state", a.state).Str("detail", a.detail).Msg("request of a session failed")
		s.errors++
	}
	return false
}

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
	queryTimeout  = 10 * time.Second // for one answer
)

// reasonCounts counts requests or retries by reason.
type reasonCounts map[errs.Reason]int64

// session writes increasing values to a row of its own and reads them back, each
// time through a random entry and with its session token. A read must never return
// an older value than the session has written or read before.
type session struct {
	run      *replicas
	name     string
	database string
	rnd      *rand.Rand
	conns    []*simpleConn // by entry, opened on first use
	token    string
	next     int64 // value of the next write
	minValue int64 // lowest value that a read may return

	offered, checked, stale, errors int64
	refused                         reasonCounts
	reads, writes                   latencies
}

func newSeeded(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func newSession(r *replicas, i int) *session {
	dbs := r.profile.Plan.Databases
	s := &session{
		run: r, name: fmt.Sprintf("session-%d", i), database: dbs[i%len(dbs)],
		rnd: newSeeded(r.o.Seed, uint64(i)+100), conns: make([]*simpleConn, len(r.testbed.addrs)), next: 1,
	}
	s.resetCounts()
	return s
}

func closeSessions(all []*session) {
	for _, s := range all {
		for i := range s.conns {
			s.closeConn(i)
		}
	}
}

// resetCounts discards the counts and latencies of the warm-up. The session keeps its
// token and the values that it has seen.
func (s *session) resetCounts() {
	s.offered, s.checked, s.stale, s.errors = 0, 0, 0, 0
	s.refused = make(reasonCounts)
	s.reads, s.writes = newLatencies(), newLatencies()
}

// think waits for a random think time and reports whether ctx is still active.
func (s *session) think(ctx context.Context) bool {
	d := min(s.rnd.ExpFloat64(), 3) * float64(replicasThinkTime)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(d)):
		return true
	}
}

// sendRequest sends a read or a write through a random entry. The first request is
// a write.
func (s *session) sendRequest(arrived time.Time) {
	s.offered++
	entry := s.rnd.IntN(len(s.conns))
	write := s.rnd.Float64() < replicasWriteShare || s.next == 1
	c, err := s.conn(entry)
	if err != nil {
		s.errors++
		return
	}
	if write {
		s.write(entry, c, arrived)
		return
	}
	s.read(entry, c, arrived)
}

// conn returns the connection to an entry and opens it if needed.
func (s *session) conn(entry int) (*simpleConn, error) {
	if s.conns[entry] != nil {
		return s.conns[entry], nil
	}
	ctx, stop := context.WithTimeout(context.Background(), dialTimeout)
	defer stop()
	dial := callerDialer(s.run.testbed.site.Network(), s.name)
	c, err := openConn(ctx, dial, s.run.testbed.addrs[entry], s.database)
	if err == nil {
		s.conns[entry] = c
	}
	return c, err
}

func (s *session) closeConn(entry int) {
	if s.conns[entry] != nil {
		s.conns[entry].close()
		s.conns[entry] = nil
	}
}

// query runs sql with the session token and stores the token of the answer. With the
// baseline there are no tokens.
func (s *session) query(entry int, c *simpleConn, sql string) (answer, error) {
	_ = c.nc.SetDeadline(time.Now().Add(queryTimeout))
	if s.token != "" && s.token != c.token {
		sql = "SET " + tokenSetting + " = '" + s.token + "'; " + sql
	}
	a, err := c.query(sql)
	if err != nil {
		s.run.o.Log.Error().Err(err).Str("session", s.name).Msg("connection of a session failed; the request counts as an error and the session reconnects")
		s.errors++
		s.closeConn(entry)
		return a, err
	}
	if c.token != "" {
		s.token = c.token
	}
	return a, nil
}

func (s *session) write(entry int, c *simpleConn, arrived time.Time) {
	v := s.next
	s.next++
	a, err := s.query(entry, c, fmt.Sprintf("INSERT INTO %s (k, v) VALUES ('%s', '%d') ON CONFLICT (k) DO UPDATE SET v = '%d'",
		replicasTable, s.name, v, v))
	if err != nil || !s.succeeded(a) {
		return
	}
	s.writes.add(time.Since(arrived))
	s.minValue = v
}

func (s *session) read(entry int, c *simpleConn, arrived time.Time) {
	a, err := s.query(entry, c, "SELECT v FROM "+replicasTable+" WHERE k = '"+s.name+"'")
	if err != nil || !s.succeeded(a) {
		return
	}
	s.reads.add(time.Since(arrived))
	s.checked++
	// A missing row counts as 0, which is older than any written value.
	v, _ := strconv.ParseInt(a.value, 10, 64)
	if v < s.minValue {
		s.stale++
	}
	s.minValue = max(s.minValue, v)
}

// succeeded reports whether a request succeeded. It counts an error answer that reports an
// outcome by its reason, and any other one as an error.
func (s *session) succeeded(a answer) bool {
	switch status, reason := classify(a, nil); status {
	case answered:
		return true
	case refused, unknown:
		s.refused[reason]++
	default:
		s.run.o.Log.Warn().Str("state", a.sqlState).Str("detail", a.detail).Msg("request of a session got an error without an outcome; it counts as an error")
		s.errors++
	}
	return false
}

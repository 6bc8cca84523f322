package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cpx has the figures of cpx-match.
var cpx = siteKind{region: "th-central", zones: []string{"bkk-a", "bkk-b", "bkk-c"}, fronts: []int{2, 2, 2}, heart: 1200 * time.Millisecond}

const (
	browseDeadline = 5 * time.Second // deadline_ms of vacancy-browse
	browseTimeout  = 3000            // timeout_ms of vacancy-browse
	browseWork     = 400 * time.Millisecond
	shortWork      = 20 * time.Millisecond
	sessions       = 4
	pause          = 40 * time.Millisecond
	statements     = 12 // the most that a transaction has
)

// playDrain checks that a planned stop of an entry cuts no request that was passed on to a member.
// Requesters run read-only transactions of up to 12 statements on sessions that were open before.
func playDrain(bin string, trouble bool, rec *record) error {
	s, err := newSite(bin, cpx, rec)
	if err != nil {
		return err
	}
	defer s.close()
	d := &drainCheck{s: s, rec: rec, ran: make(map[string]time.Time)}
	g := newGroup("dele69a", groupKind{
		slots: 5, maxConns: 32, handshake: 12 * time.Millisecond, receive: 2 * time.Millisecond, apply: 60 * time.Millisecond, promote: time.Second,
	}, rec)
	s.groups = []*group{g}
	for i, z := range s.zones {
		if _, err := g.addMember(fmt.Sprintf("i-%d", i+1), z, time.Now(), d.work, d.record); err != nil {
			return err
		}
	}
	g.primary = g.members[0]
	if err := s.up([]route{{db: "kahu620", kind: "bounded_stale", service: g.name, timeoutMS: browseTimeout, goalMS: 800, prio: 2, maxStaleMS: 1500}}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // contact_ms
	d.target = s.front[0]
	var wg sync.WaitGroup
	begin := make(chan struct{})
	failed := make(chan error, sessions)
	for i := range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := d.browse(i, begin); err != nil {
				failed <- err
			}
		}()
	}
	time.Sleep(2 * time.Second)
	d.termAt = time.Now()
	if trouble {
		rec.add("SIGTERM to %s; SIGKILL follows after %d s", d.target.name, graceS)
		d.target.signal(syscall.SIGTERM)
		time.AfterFunc(graceS*time.Second, func() { d.target.signal(syscall.SIGKILL) })
	}
	close(begin)
	wg.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	s.logLines(d.target, "stopping", "stopped")
	return nil
}

// drainCheck is the state of the case.
type drainCheck struct {
	s      *site
	rec    *record
	target *proc
	termAt time.Time

	mu  sync.Mutex
	ran map[string]time.Time // when a member began to run a statement
}

// work returns the work time of a statement, and records that it has begun.
func (d *drainCheck) work(id string) time.Duration {
	d.mu.Lock()
	d.ran[id] = time.Now()
	d.mu.Unlock()
	if strings.HasPrefix(id, "first") {
		return shortWork
	}
	return browseWork
}

func (d *drainCheck) record(id, who string, _ []*commit) {
	d.rec.add("member ran %s, from %s", id, who)
}

// browse opens a session, reads once, and after begin runs a transaction. It retries the whole
// operation after a promise, as it may.
func (d *drainCheck) browse(i int, begin chan struct{}) error {
	q, err := connect(d.target, "kahu620", fmt.Sprintf("u%d", i))
	if err != nil {
		return err
	}
	defer q.close()
	for n := range 5 {
		a := q.query(fmt.Sprintf("first-%d-%d", i, n), "FETCH 1a4", 3*time.Second)
		if a.word != "COMPLETE" {
			return fmt.Errorf("read %d was answered %s %s %v", n, a.word, a.rest, a.err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	<-begin
	time.Sleep(600*time.Millisecond + time.Duration(i)*130*time.Millisecond)
	began := time.Now()
	deadline := began.Add(browseDeadline)
	for n := range statements + 2 {
		id, text := fmt.Sprintf("t%d-%d", i, n), "FETCH 1a4"
		switch n {
		case 0:
			text = "BEGIN FETCH"
		case statements + 1:
			text = "COMMIT"
		}
		if time.Until(deadline) < browseWork {
			d.rec.add("u%d ends its transaction early, before its deadline", i)
			text = "ROLLBACK"
		}
		sent := time.Now()
		a := q.query(id, text, time.Until(deadline))
		d.rec.add("%s %q sent at %.3f s after the SIGTERM, answered at %.3f s: %s %s %s %v", id, text,
			sent.Sub(d.termAt).Seconds(), time.Since(d.termAt).Seconds(), a.word, a.rest, a.state, a.err)
		if a.err != nil {
			d.judge(id, sent, deadline, a.err)
			return nil
		}
		if a.word != "COMPLETE" || text == "ROLLBACK" {
			return nil
		}
		time.Sleep(pause)
	}
	return nil
}

// judge checks the rule LOST for a request whose connection ended without a complete answer.
func (d *drainCheck) judge(id string, sent, deadline time.Time, err error) {
	now := time.Now()
	d.mu.Lock()
	ran, passedOn := d.ran[id]
	d.mu.Unlock()
	sinceTerm := now.Sub(d.termAt)
	switch {
	case sinceTerm > (graceS+1)*time.Second:
	case !now.Before(deadline) || now.Sub(sent) >= browseTimeout*time.Millisecond:
	case !passedOn && now.Sub(sent) < 200*time.Millisecond:
	case sinceTerm > graceS*time.Second*5/6 && sent.Sub(d.termAt) <= 3*time.Second:
	case !passedOn:
		d.rec.violation("LOST: %s was sent and the connection ended %v later without an answer (%v)", id, now.Sub(sent), err)
	default:
		d.rec.violation("LOST: %s was sent %.3f s after the SIGTERM, a member ran it from %.3f s on, and the connection ended at %.3f s without an answer (%v)",
			id, sent.Sub(d.termAt).Seconds(), ran.Sub(d.termAt).Seconds(), sinceTerm.Seconds(), err)
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// corrimao has the figures of corrimao-ne.
var corrimao = siteKind{region: "nordeste", zones: []string{"recife", "fortaleza", "salvador"}, fronts: []int{3, 3, 2}, heart: 1200 * time.Millisecond}

// uniform returns a work time around a mean.
func uniform(mean time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return mean/2 + time.Duration(rand.Int64N(int64(mean))) }
}

const (
	cutLength = 7 * time.Second // of primary_cut on a day of corrimao-ne
	cutFronts = 5               // of 8, a share of 0.625; that day has 0.65
)

// playNewcomer checks that an acknowledged commit of a service with a synchronous replica is in the
// log of the promoted member. The primary is cut off from control and from most entries, and the
// replacement of a replica begins while another one is being promoted.
func playNewcomer(bin string, trouble bool, rec *record) error {
	s, err := newSite(bin, corrimao, rec)
	if err != nil {
		return err
	}
	defer s.close()
	g := newGroup("huvo11a", groupKind{
		sync: true, slots: 3, maxConns: 43, handshake: 12 * time.Millisecond, receive: 2 * time.Millisecond, apply: 60 * time.Millisecond, promote: time.Second,
	}, rec)
	s.groups = []*group{g}
	work, ran := uniform(5*time.Millisecond), func(id, who string, _ []*commit) { rec.add("%s is run, from %s", id, who) }
	for i, z := range s.zones {
		if _, err := g.addMember(fmt.Sprintf("i-%d", i+1), z, time.Now(), work, ran); err != nil {
			return err
		}
	}
	g.primary = g.members[0]
	db := "lepu270"
	if err := s.up([]route{{db: db, kind: "primary", service: g.name, timeoutMS: 800, goalMS: 150, prio: 1}}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // contact_ms

	w := &writers{s: s, db: db, acked: make(map[string]bool), stop: make(chan struct{})}
	for i := range 24 {
		w.wg.Add(1)
		go w.run(i)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.cutPrimary(g.members[0], cutLength)
	}
	time.Sleep(1500 * time.Millisecond)
	// Planned work: a replica is replaced. The new member starts first, then the old one drains. The
	// new one receives from the acknowledgement of its first heartbeat on.
	m, err := g.addMember("i-4", g.members[2].zone, time.Now().Add(time.Hour), work, ran)
	if err != nil {
		return err
	}
	rec.add("replacement of %s begins: %s starts", g.members[2].id, m.id)
	m.firstAck = func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.receivesFrom = time.Now()
		rec.add("the first heartbeat of %s was acknowledged; it receives from now on", m.id)
	}
	go s.beat(m)
	time.Sleep(2 * time.Second)
	g.mu.Lock()
	g.members[2].draining = true
	g.mu.Unlock()
	g.members[2].announce()
	rec.add("%s is draining", g.members[2].id)
	time.Sleep(8 * time.Second)
	close(w.stop)
	w.wg.Wait()

	return w.judge(g)
}

// judge checks the rule LOST.
func (w *writers) judge(g *group) error {
	acked, lost := 0, 0
	g.mu.Lock()
	for id := range w.acked {
		acked++
		if member := g.lost[id]; member != "" {
			lost++
			w.s.rec.violation("LOST: write %s was acknowledged to its requester and is not in the log of %s, which was promoted", id, member)
		}
	}
	leads := g.primary != nil
	g.mu.Unlock()
	w.s.rec.add("%d writes acknowledged, %d of them lost", acked, lost)
	for _, p := range w.s.core {
		w.s.logLines(p, "primary does not answer", "stop receiving until a promotion", "member that received most", "promotion ordered", "promotion was accepted", "receive again")
	}
	if acked < 100 || !leads {
		return fmt.Errorf("only %d writes were acknowledged, or there is no primary", acked)
	}
	return nil
}

// cutPrimary cuts a member off from control and from cutFronts entries for a time.
func (s *site) cutPrimary(m *member, length time.Duration) {
	cut := []string{}
	for _, p := range s.core {
		cut = append(cut, p.name)
	}
	for _, p := range s.front[len(s.front)-cutFronts:] {
		cut = append(cut, p.name)
	}
	s.rec.add("the primary %s is cut off from %v for %v", m.id, cut, length)
	s.setMute(m.id, true)
	m.way.setCut(cut...)
	time.AfterFunc(length, func() {
		s.rec.add("the cut of %s heals", m.id)
		m.way.setCut()
		s.setMute(m.id, false)
	})
}

// writers send single writes through all entries.
type writers struct {
	s    *site
	db   string
	wg   sync.WaitGroup
	stop chan struct{}

	reads bool // every other operation is a read

	mu    sync.Mutex
	acked map[string]bool
	sent  map[string]time.Time // of reads
	ackAt map[string]time.Time // of writes
}

func (w *writers) run(i int) {
	defer w.wg.Done()
	p := w.s.front[i%len(w.s.front)]
	var q *requester
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(time.Duration(200+rand.IntN(400)) * time.Millisecond):
		}
		if q == nil {
			var err error
			if q, err = connect(p, w.db, fmt.Sprintf("u%d", i)); err != nil {
				w.s.rec.add("%s: no session at %s: %v", fmt.Sprintf("u%d", i), p.name, err)
				q = nil
				continue
			}
		}
		id, text := fmt.Sprintf("w%d-%d", i, n), "STORE 1a4 xkqpwnzd"
		sent := time.Now()
		if w.reads && n%2 == 1 {
			id, text = fmt.Sprintf("r%d-%d", i, n), "FETCH 1a4"
			w.mu.Lock()
			w.sent[id] = sent
			w.mu.Unlock()
		}
		a := q.query(id, text, 2*time.Second)
		w.s.rec.add("%s at %s, sent %.0f ms before: %s %s %v", id, p.name, time.Since(sent).Seconds()*1000, a.word, a.rest, a.err)
		if a.word == "COMPLETE" {
			w.mu.Lock()
			w.acked[id] = true
			if w.reads {
				w.ackAt[id] = time.Now()
			}
			w.mu.Unlock()
		}
		if a.err != nil || a.state != "I" {
			q.close()
			q = nil
		}
	}
}

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
	cutFronts = 5                      // of 8, a share of 0.625; a day of corrimao-ne has 0.65
	newFirst  = 500 * time.Millisecond // from the start of a new member until the old one drains
	releaseAt = 1500 * time.Millisecond
)

// playNewcomer checks that an acknowledged commit of a service with a synchronous replica is in the
// log of the promoted member. The primary is cut off from its replicas, from control and from most
// entries, and the replacement of a replica begins while another one is being promoted.
func playNewcomer(bin string, trouble bool, rec *record) error {
	s, g, err := newSyncSite(bin, rec)
	if err != nil {
		return err
	}
	defer s.close()
	w, err := s.startWriters()
	if err != nil {
		return err
	}
	if trouble {
		s.splitPrimary(g.members[0])
	}
	time.Sleep(releaseAt)
	if err := s.replaceMember(g.members[2], "i-4"); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	close(w.stop)
	w.wg.Wait()
	return w.judge(g)
}

// newSyncSite returns an installation with the figures of corrimao-ne and one service whose commits
// wait for a replica.
func newSyncSite(bin string, rec *record) (*site, *group, error) {
	return newOneServiceSite(bin, rec, true, nil)
}

// newOneServiceSite returns an installation with the figures of corrimao-ne and one service. ran, unless nil,
// is told of each statement that a member runs.
func newOneServiceSite(bin string, rec *record, sync bool, ran func(id, who string, log []*commit)) (*site, *group, error) {
	s, err := newSite(bin, corrimao, rec)
	if err != nil {
		return nil, nil, err
	}
	g := newGroup("huvo11a", groupKind{
		sync: sync, slots: 3, maxConns: 43, handshake: 12 * time.Millisecond, receive: 2 * time.Millisecond, apply: 60 * time.Millisecond, promote: time.Second,
	}, rec)
	s.groups, s.ran = []*group{g}, ran
	for i, z := range s.zones {
		if _, err := s.addMember(fmt.Sprintf("i-%d", i+1), z, time.Now()); err != nil {
			s.close()
			return nil, nil, err
		}
	}
	g.primary = g.members[0]
	return s, g, nil
}

// addMember adds a member to the only service.
func (s *site) addMember(id, zone string, receivesFrom time.Time) (*member, error) {
	ran := s.ran
	if ran == nil {
		ran = func(id, who string, _ []*commit) { s.rec.add("%s is run, from %s", id, who) }
	}
	return s.groups[0].addMember(id, zone, receivesFrom, uniform(5*time.Millisecond), ran)
}

const syncDB = "lepu270"

// startWriters starts the installation, and requesters that write.
func (s *site) startWriters() (*writers, error) {
	if err := s.up([]route{{db: syncDB, kind: "primary", service: s.groups[0].name, timeoutMS: 800, goalMS: 150, prio: 1}}); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // contact_ms
	w := &writers{s: s, db: syncDB, acked: make(map[string]bool), stop: make(chan struct{})}
	for i := range 24 {
		w.wg.Add(1)
		go w.run(i)
	}
	time.Sleep(2 * time.Second)
	return w, nil
}

// replaceMember starts a new member, which receives from the acknowledgement of its first heartbeat on.
// Then the old one drains.
func (s *site) replaceMember(old *member, id string) error {
	m, err := s.addMember(id, old.zone, time.Now().Add(time.Hour))
	if err != nil {
		return err
	}
	s.rec.add("replacement of %s begins: %s starts", old.id, m.id)
	m.firstAck = func() {
		m.g.mu.Lock()
		defer m.g.mu.Unlock()
		m.receivesFrom = time.Now()
		s.rec.add("the first heartbeat of %s was acknowledged; it receives from now on", m.id)
	}
	go s.beat(m)
	time.Sleep(newFirst)
	drained := make(chan struct{})
	old.g.mu.Lock()
	old.draining, old.drainAck = true, func() { close(drained) }
	old.g.mu.Unlock()
	old.announce()
	select {
	case <-drained:
	case <-time.After(3 * time.Second):
		return fmt.Errorf("the draining of %s was not acknowledged", old.id)
	}
	s.rec.add("%s is draining, which was acknowledged", old.id)
	return nil
}

// cutPrimary cuts a member off from control and from cutFronts entries for a time.
func (s *site) cutPrimary(m *member, length time.Duration) {
	var cut []string
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
	g.mu.Unlock()
	w.s.rec.add("%d writes acknowledged, %d of them lost", acked, lost)
	for _, p := range w.s.core {
		w.s.logLines(p, "primary does not answer", "stop receiving until a promotion", "member that received most", "promotion ordered", "promotion was accepted", "receive again")
	}
	if acked < 100 && lost == 0 {
		return fmt.Errorf("only %d writes were acknowledged", acked)
	}
	return nil
}

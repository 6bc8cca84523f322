package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// syncCase has a service whose commits wait for one replica. Its primary is partitioned from
// the core and from most entries, and then one replica receives nothing for a while.
func syncCase(s *site, trouble bool) (int, error) {
	p, err := s.startPlatform()
	if err != nil {
		return failed, err
	}
	for zone := range 3 {
		s.addMachine("core", zone).bootstrap = true
	}
	for i := range 6 {
		s.addMachine("front", i).bootstrap = true
	}
	for _, m := range s.all {
		if err := s.start(m); err != nil {
			return failed, err
		}
	}
	body := config(3, 32, 1, []string{"match-1"}, []routeSpec{
		{Name: "w", Database: "placements", Prefix: "/", Type: "primary", Timeout: 1000, Goal: 200, Prio: 1, Service: "match-1", Attempts: 2},
	})
	if !s.putUntilAcked(3, body, 15*time.Second) {
		return failed, errors.New("the first configuration was not acknowledged")
	}
	v, err := s.startService("match-1", 5, 32, 1, 5*time.Millisecond, 60*time.Millisecond)
	if err != nil {
		return failed, err
	}
	var mu sync.Mutex
	acked, dropped := map[string]time.Time{}, map[string]string{}
	p.services[v.name] = v
	p.lost = func(_ *service, id string, e logEntry) {
		mu.Lock()
		defer mu.Unlock()
		for _, w := range e.ids {
			dropped[w] = id
		}
	}
	time.Sleep(4 * time.Second)

	// Ten requesters at each entry, each of which writes ten times a second.
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for i, m := range s.front {
		for k := range 2 {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					q, err := connect(m, "placements", fmt.Sprintf("u%d-%d-%d", i, k, n))
					if err != nil {
						time.Sleep(200 * time.Millisecond)
						continue
					}
					for time.Now().Before(end) {
						result, _, err := q.ask("STORE 1a4 xkqpwnzd", 2*time.Second)
						id := fmt.Sprintf("%s-%d", q.name, q.last)
						s.note("requester: write %s at %s: %s %v", id, m.name, result, err)
						if err != nil {
							break
						}
						if strings.HasPrefix(result, "COMPLETE") {
							mu.Lock()
							acked[id] = time.Now()
							mu.Unlock()
						}
						time.Sleep(100 * time.Millisecond)
					}
					q.close()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		primary, ordered := v.members[0], make(chan string, 1)
		p.mu.Lock()
		p.ordered = func(_ *service, id string) {
			select {
			case ordered <- id:
			default:
			}
		}
		p.mu.Unlock()
		cut := map[string]bool{}
		for _, m := range append(append([]*machine{}, s.core...), s.front[:4]...) {
			cut[m.name] = true
		}
		v.mu.Lock()
		primary.cut = cut
		v.mu.Unlock()
		s.note("%s is partitioned from the core and from %d of %d entries", primary.id, 4, len(s.front))
		replica := v.members[2]
		select {
		case id := <-ordered:
			for _, m := range v.members {
				if m.id == id {
					replica = m
				}
			}
		case <-time.After(5 * time.Second):
			s.note("no promotion was ordered")
		}
		time.Sleep(300 * time.Millisecond)
		replica.setDeaf(true)
		s.note("%s receives nothing from now on", replica.id)
		time.Sleep(3 * time.Second)
		replica.setDeaf(false)
		v.mu.Lock()
		primary.cut = nil
		v.mu.Unlock()
		s.note("both have ended")
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for id, by := range dropped {
		if at, ok := acked[id]; ok {
			lost++
			s.note("LOST broken: write %s was acknowledged at %.3f s and is not in the log of %s, which was promoted", id, at.Sub(s.started).Seconds(), by)
		}
	}
	s.note("%d writes acknowledged, %d of them lost by a promotion", len(acked), lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

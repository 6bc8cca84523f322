package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatCase lets another writer send a heartbeat without required fields for the address
// of each member of a service.
func heartbeatCase(s *site, trouble bool) (int, error) {
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
	body := config(3, 32, 0, []string{"match-1"}, []routeSpec{
		{Name: "w", Database: "placements", Prefix: "/", Type: "primary", Timeout: 1000, Goal: 200, Prio: 1, Service: "match-1", Attempts: 2},
	})
	if !s.putUntilAcked(3, body, 15*time.Second) {
		return failed, errors.New("the first configuration was not acknowledged")
	}
	v, err := s.startService("match-1", 5, 32, 0, 5*time.Millisecond, 60*time.Millisecond)
	if err != nil {
		return failed, err
	}
	p.services[v.name] = v
	time.Sleep(4 * time.Second)

	var served, refused, lost atomic.Int64
	end := time.Now().Add(50 * time.Second)
	var wg sync.WaitGroup
	for i, m := range s.front {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				q, err := connect(m, "placements", fmt.Sprintf("u%d-%d", i, n))
				for err == nil && time.Now().Before(end) {
					var result string
					result, _, err = q.ask("STORE 1a4 xkqpwnzd", 2*time.Second)
					s.note("requester: write %s-%d at %s: %s %v", q.name, q.last, m.name, result, err)
					switch {
					case err != nil:
						lost.Add(1)
					case strings.HasPrefix(result, "COMPLETE"):
						served.Add(1)
					default:
						refused.Add(1)
					}
					time.Sleep(200 * time.Millisecond)
				}
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				q.close()
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for i, m := range v.members {
			// zone, version, slots and cold_left_ms are missing.
			beat, err := json.Marshal(map[string]any{
				"backend": v.name, "address": m.l.Addr().String(), "state": "ready", "db_role": "replica", "seq": 1, "born": time.Now().UnixMilli(),
			})
			if err != nil {
				return failed, err
			}
			r, err := http.Post(fmt.Sprintf("http://%s:%s/api/instances/x-%d/heartbeat", s.core[0].ip, controlPort, i), "application/json", bytes.NewReader(beat))
			if err != nil {
				return failed, err
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			s.note("another writer: %s: status %d", beat, r.StatusCode)
		}
	}
	time.Sleep(15 * time.Second) // recovery_s is 12
	okBefore, noBefore := served.Load(), refused.Load()+lost.Load()
	wg.Wait()
	ok, no := served.Load(), refused.Load()+lost.Load()
	s.note("%d writes served, %d refused or failed; of these in the last 30 s: %d served, %d refused or failed", ok, no, ok-okBefore, no-noBefore)
	if 10*no > 6*(ok+no) {
		s.note("Gate broken: more than 60%% of the requests were refused or failed, though all members run and send heartbeats")
		return broken, nil
	}
	return held, nil
}

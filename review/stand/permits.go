package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// inUse reads how many connections to a member an entry counts as in use.
func inUse(m *machine, id string) string {
	r, err := http.Get("http://" + m.ip + ":" + entryMetrics + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err.Error()
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		if strings.HasPrefix(line, "tamarackcross_connections_in_use{") && strings.Contains(line, `"`+id+`"`) {
			_, value, _ := strings.Cut(line, "} ")
			return value
		}
	}
	return "none"
}

// permitsCase lets two entries serve many writes, and then adds machines.
func permitsCase(s *site, trouble bool) (int, error) {
	if _, err := s.startPlatform(); err != nil {
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
	v, err := s.startService("match-1", 5, 32, 0, 0, 60*time.Millisecond)
	if err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)

	// The requesters of the zone bkk-a, 49 at each of its two entries. They stay connected.
	old := []*machine{s.front[0], s.front[3]}
	var served, refused atomic.Int64
	var pause atomic.Int64
	pause.Store(int64(2 * time.Millisecond))
	end := make(chan struct{})
	var wg sync.WaitGroup
	for i, m := range old {
		for k := range 49 {
			wg.Go(func() {
				for n := 0; ; n++ {
					q, err := connect(m, "placements", fmt.Sprintf("u%d-%d-%d", i, k, n))
					for err == nil {
						var result string
						result, _, err = q.ask("STORE 1a4 xkqpwnzd", 2*time.Second)
						switch {
						case err != nil:
						case strings.HasPrefix(result, "COMPLETE"):
							served.Add(1)
						default:
							refused.Add(1)
						}
						select {
						case <-end:
							q.close()
							return
						case <-time.After(time.Duration(pause.Load())):
						}
					}
					select {
					case <-end:
						return
					case <-time.After(200 * time.Millisecond):
					}
				}
			})
		}
	}
	report := func(what string) {
		s.note("%s: %d writes served, %d refused; connections to the primary in use: %s at %s, %s at %s",
			what, served.Load(), refused.Load(), inUse(old[0], v.primary.id), old[0].name, inUse(old[1], v.primary.id), old[1].name)
	}
	for range 5 {
		time.Sleep(10 * time.Second)
		report("load")
	}
	pause.Store(int64(500 * time.Millisecond))
	time.Sleep(3 * time.Second)
	report("each requester now writes twice a second")
	if trouble {
		for zone := range 2 {
			if err := s.start(s.addMachine("front", zone+1)); err != nil {
				return failed, err
			}
		}
	}
	time.Sleep(6 * time.Second)
	report("machines have been added, if any")
	okBefore, noBefore := served.Load(), refused.Load()
	time.Sleep(15 * time.Second)
	report("15 s later")
	ok, no := served.Load()-okBefore, refused.Load()-noBefore
	close(end)
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	report("no requester is connected")
	s.note("in these 15 s %d writes were served and %d refused", ok, no)
	if 10*no > 6*(ok+no) {
		s.note("Gate broken: more than 60%% of the requests were refused, though the primary had nothing else to do")
		return broken, nil
	}
	return held, nil
}

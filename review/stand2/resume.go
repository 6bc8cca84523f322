package main

import (
	"fmt"
	"time"
)

const (
	lateOrder   = 6 * time.Second // of 2 to 12 s
	cutLength   = 5 * time.Second
	secondAfter = 6800 * time.Millisecond // from the first cut to the second one
)

// playResume checks the same rule as playNewcomer: an order to a replica to receive again, which got no
// answer, is carried out while another promotion is under way.
func playResume(bin string, trouble bool, rec *record) error {
	s, g, err := newSyncSite(bin, rec)
	if err != nil {
		return err
	}
	defer s.close()
	first := g.members[2]
	g.primary = first
	g.members[0].farther = 3 * time.Millisecond
	if trouble {
		orders, late := 0, 0
		g.late = func(_ *member, order string) time.Duration {
			orders++
			// One order in three at most, and only the first one to receive again.
			if order != "RESUME" || late > 0 || 3*(late+1) > orders {
				return 0
			}
			late++
			return lateOrder
		}
	}
	w, err := s.startWriters()
	if err != nil {
		return err
	}
	s.cutPrimary(first, cutLength)
	time.Sleep(secondAfter)
	g.mu.Lock()
	second := g.primary
	g.mu.Unlock()
	if second == nil || second == first {
		return fmt.Errorf("the first primary was not replaced")
	}
	s.cutPrimary(second, cutLength)
	time.Sleep(cutLength + 4*time.Second)
	close(w.stop)
	w.wg.Wait()
	return w.judge(g)
}

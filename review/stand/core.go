package main

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// coreCase replaces a machine of the core by plan, and then another one loses its disk.
func coreCase(s *site, trouble bool) (int, error) {
	s.cloud = s.net + "250:8783" // nothing listens there; no service needs a promotion
	for zone := range 3 {
		s.addMachine("core", zone).bootstrap = true
	}
	for zone := range 3 {
		s.addMachine("front", zone).bootstrap = true
	}
	for _, m := range s.all {
		if err := s.start(m); err != nil {
			return failed, err
		}
	}
	doc := func(version uint64) []byte {
		return config(version, 32, 0, []string{"match-1"}, []routeSpec{{
			Name: "r", Database: "placements", Prefix: "/", Type: "primary", Timeout: 1000, Goal: 200, Prio: 1, Service: "match-1", Attempts: 2,
		}})
	}
	if !s.putUntilAcked(3, doc(3), 15*time.Second) {
		return failed, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(3 * time.Second)

	// The successor starts at another address with an empty disk.
	old, other := s.core[2], s.core[1]
	next := s.addMachine("core", 2)
	if err := s.start(next); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second) // catch_up_s is 4
	if !s.putUntilAcked(5, doc(5), 5*time.Second) {
		return failed, errors.New("the second configuration was not acknowledged")
	}

	// The old machine is stopped and never comes back.
	s.stop(old, syscall.SIGTERM)
	s.core = []*machine{s.core[0], other, next}
	s.note("%s is removed; %s has been there for more than catch_up_s", old.name, next.name)
	time.Sleep(time.Second)

	if trouble {
		s.stop(other, syscall.SIGKILL)
		if err := os.RemoveAll(other.dataDir()); err != nil {
			return failed, err
		}
		s.note("%s has lost its disk", other.name)
		time.Sleep(2 * time.Second)
		other.seeds = s.core
		if err := s.start(other); err != nil {
			return failed, err
		}
	}
	s.note("all machines run")

	// recovery_s is 12, contact_ms is 4,000.
	back := time.Now()
	limit := back.Add(12*time.Second + 4*time.Second)
	read := false
	for time.Since(back) < 40*time.Second && !read {
		for _, m := range s.core {
			version, code, err := s.get(m)
			s.note("operator: read at %s: status %d, version %d, error %v", m.name, code, version, err)
			switch {
			case code == 200 && version < 5:
				s.note("CONFIG broken: version %d was read, version 5 was acknowledged", version)
				return broken, nil
			case code == 200:
				read = true
			}
		}
		time.Sleep(time.Second)
	}
	if !read {
		s.note("CONFIG broken: for 40 s no machine returned the configuration that was acknowledged")
		s.putUntilAcked(7, doc(7), 6*time.Second)
		return broken, nil
	}
	s.note("read back %.1f s after all machines ran", time.Since(back).Seconds())
	if time.Now().After(limit) || !s.putUntilAcked(7, doc(7), 10*time.Second) {
		s.note("CONFIG broken: the configuration came too late, or a further one is not acknowledged")
		return broken, nil
	}
	return held, nil
}

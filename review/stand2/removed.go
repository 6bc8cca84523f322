package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	catchUp       = 4 * time.Second         // catch_up_s
	beforeRemoval = 6 * time.Second         // from the start of the successor
	beforeWipe    = 1 * time.Second         // from the removal
	wipedFor      = 2 * time.Second         // until the machine that lost its disk is back
	readBackFor   = 40 * time.Second        // recovery_s is 12
	readInterval  = 500 * time.Millisecond  // between reads of the config
	settleTime    = 1500 * time.Millisecond // between the acknowledgement and the removal
)

// playRemoved checks that an acknowledged config is read back. A machine of the core is replaced: its
// successor starts first and catches up, then the old one is removed without SIGTERM. After that
// another machine loses its disk.
func playRemoved(bin string, trouble bool, rec *record) error {
	s, _, err := newOneServiceSite(bin, rec, false, nil)
	if err != nil {
		return err
	}
	defer s.close()
	routes := []route{{db: syncDB, kind: "primary", service: s.groups[0].name, timeoutMS: 800, goalMS: 150, prio: 1}}
	if err := s.up(routes); err != nil {
		return err
	}
	time.Sleep(contact)

	old, other := s.core[0], s.core[1]
	successor := &proc{name: "core-" + old.zone + "-2", ip: s.prefix + "100", zone: old.zone, role: "control", dir: filepath.Join(s.dir, "core-new")}
	if err := s.start(successor, false); err != nil {
		return err
	}
	started := time.Now()
	rec.add("%s starts with an empty disk; it counts as lost for %v", successor.name, catchUp)
	s.core = append(s.core, successor)
	time.Sleep(beforeRemoval - settleTime)
	if err := s.putConfig(s.configBody(12, routes), 5*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(started.Add(beforeRemoval)))
	old.signal(syscall.SIGKILL)
	<-old.exited
	old.exited <- nil
	rec.add("%s is removed for good, without SIGTERM", old.name)
	s.core = s.core[1:]
	time.Sleep(beforeWipe)
	if trouble {
		if err := s.wipe(other); err != nil {
			return err
		}
	}
	return s.readBack(12)
}

// wipe makes a machine of the core lose its disk and start again.
func (s *site) wipe(p *proc) error {
	p.signal(syscall.SIGKILL)
	<-p.exited
	if err := os.RemoveAll(filepath.Join(p.dir, "data")); err != nil {
		return err
	}
	s.rec.add("%s has lost its disk", p.name)
	time.Sleep(wipedFor)
	if err := s.start(p, false); err != nil {
		return err
	}
	s.rec.add("%s is back with an empty disk", p.name)
	return nil
}

// readBack reads the config at all machines of the core until one returns the version.
func (s *site) readBack(version int) error {
	client := newClient()
	for end := time.Now().Add(readBackFor); time.Now().Before(end); time.Sleep(readInterval) {
		for _, c := range s.core {
			code, body := call(client, "GET", "http://"+c.ip+":"+strconv.Itoa(portControl)+"/api/config/get", nil)
			got := versionOf(body)
			s.rec.add("config read at %s: %d, version %d", c.name, code, got)
			switch {
			case code == 200 && got == version:
				return nil
			case code == 200:
				s.rec.violation("CONFIG: %s returned version %d after version %d was acknowledged", c.name, got, version)
				return nil
			}
		}
	}
	s.rec.violation("CONFIG: version %d was acknowledged, and no machine of the core has returned it for %v", version, readBackFor)
	for _, c := range s.core {
		s.logLines(c, "control role changed", "learner", "member removed", "member added")
	}
	if len(s.core) < 3 {
		return fmt.Errorf("only %d machines of the core are left", len(s.core))
	}
	return nil
}

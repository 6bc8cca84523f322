package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// firstDown is how long the machine that is killed first is down.
	firstDown = 3500 * time.Millisecond
	// downTime is how long killed processes are down.
	downTime = 600 * time.Millisecond
	// firstConfigWait is how long the operator sends the first configuration: far longer than ack_ms and
	// recovery_s together.
	firstConfigWait = 60 * time.Second
	// servedAfter is how long requests go on after the first configuration.
	servedAfter = 5 * time.Second
)

// killedAtStart: while the system starts for the first time, one machine of the core is killed and down
// for firstDown. Meanwhile all control processes are killed at the same moment and start again.
func killedAtStart(root, dir string, rec *record, trouble string) error {
	s, err := newSite(root, dir, 3, 0, rec)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.startPlatform(); err != nil {
		return err
	}
	for _, p := range append(append([]*proc{}, s.controls...), s.entries...) {
		if err := s.start(p); err != nil {
			return err
		}
	}
	if trouble != noTrouble {
		if err := s.killWhileStarting(trouble); err != nil {
			return err
		}
	}
	end := s.load(3, 100*time.Millisecond)
	err = s.putConfigFor(1, firstConfigWait)
	state := s.readiness()
	time.Sleep(servedAfter)
	served, refused, other := end()
	rec.note("requests served %d, refused with a promise %d, other %d", served, refused, other)
	if served == 0 {
		rec.violation("Fault: no request is served in %v; %v; %s", firstConfigWait+servedAfter, err, state)
	}
	return nil
}

// Values of TROUBLE that leave one of the two disruptions out.
const (
	onlyOneKilled = "one"
	onlyAllKilled = "all"
)

func (s *site) killWhileStarting(trouble string) error {
	first, others := s.controls[0], s.controls[1:]
	if trouble != onlyAllKilled {
		first.kill()
		s.rec.note("%s is killed right after its start, and down for %v", first.name, firstDown)
	}
	time.Sleep(time.Second)
	if trouble != onlyOneKilled {
		for _, c := range s.controls {
			c.kill()
		}
		s.rec.note("all control processes are killed")
		time.Sleep(downTime)
		for _, c := range others {
			if err := s.start(c); err != nil {
				return err
			}
		}
		s.rec.note("%s and %s start again, with their disks", others[0].name, others[1].name)
	}
	if trouble != onlyAllKilled {
		time.Sleep(firstDown - time.Second - downTime)
	}
	if err := s.start(first); err != nil {
		return err
	}
	s.rec.note("%s starts again, with its disk", first.name)
	return nil
}

// readiness describes the answers of the entries to the ready probe.
func (s *site) readiness() string {
	var out []string
	for _, e := range s.entries {
		state := "no answer"
		if resp, err := http.Get("http://" + e.ip + readyPort + "/api/ready"); err == nil {
			_ = resp.Body.Close()
			state = fmt.Sprint(resp.StatusCode)
		}
		out = append(out, e.name+" is ready: "+state)
	}
	return strings.Join(out, ", ")
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"
)

const (
	// caughtUp is more than catch_up_s, after which a new machine does not count as lost any more.
	caughtUp = 5 * time.Second
	// diskLostTime is how long a machine is down that loses its disk.
	diskLostTime = time.Second
	// readLimit is how long the operator asks for the config at the end: more than recovery_s and contact_ms
	// together.
	readLimit = 40 * time.Second
	graceTime = 6 * time.Second
)

// Values of TROUBLE: only one machine is replaced, or no disk is lost.
const (
	oneReplaced = "one"
	noDiskLost  = "no-disk-lost"
)

// replacedTogether: two machines of the core are replaced as planned. Both new ones start first, one after
// the other, and then both old ones are stopped. At no time does more than one machine count as lost.
// Seconds later one of the three machines loses its disk.
func replacedTogether(root, dir string, rec *record, trouble string) error {
	s, err := newSite(root, dir, 3, 0, rec)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	n := 2
	if trouble == oneReplaced {
		n = 1
	}
	if trouble != noTrouble {
		if err := s.replaceControls(n); err != nil {
			return err
		}
	}
	if err := s.putConfig(2); err != nil {
		return err
	}
	time.Sleep(caughtUp)
	if err := s.putConfig(3); err != nil {
		return err
	}
	if trouble != noTrouble && trouble != noDiskLost {
		if err := s.loseDisk(s.controls[0]); err != nil {
			return err
		}
	}
	s.checkConfig(3)
	return nil
}

// replaceControls replaces the last n control machines: new ones start at other addresses, each one when the
// one before does not count as lost any more. Then the old ones are stopped and removed.
func (s *site) replaceControls(n int) error {
	old := slices.Clone(s.controls[len(s.controls)-n:])
	var added []*proc
	for i, o := range old {
		p := &proc{name: o.name + "-new", ip: s.prefix + strconv.Itoa(20+i), zone: o.zone, role: "control", started: true}
		if err := s.start(p); err != nil {
			return err
		}
		s.rec.note("%s starts, to replace %s", p.name, o.name)
		added = append(added, p)
		time.Sleep(caughtUp)
	}
	s.listMu.Lock()
	s.controls = append(slices.Clone(s.controls[:len(s.controls)-n]), added...)
	s.listMu.Unlock()
	s.updateSettings()
	for _, o := range old {
		took := o.stop()
		s.rec.note("%s got SIGTERM, has ended after %.1f s and is removed", o.name, took.Seconds())
		time.Sleep(2 * time.Second)
	}
	return nil
}

// updateSettings writes the settings files with the present seeds, and tells the processes.
func (s *site) updateSettings() {
	for _, p := range append(slices.Clone(s.controls), s.entries...) {
		if err := os.WriteFile(filepath.Join(p.dir, "local.json"), s.settings(p), 0o600); err != nil {
			s.rec.note("%v", err)
		}
		p.mu.Lock()
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
		p.mu.Unlock()
	}
	s.rec.note("the settings name the seeds %s, %s and %s", s.controls[0].name, s.controls[1].name, s.controls[2].name)
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (p *proc) stop() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := time.Now()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	p.cmd = nil
	return time.Since(began)
}

// loseDisk kills a machine, which comes back with an empty disk at its address.
func (s *site) loseDisk(p *proc) error {
	p.kill()
	if err := os.RemoveAll(filepath.Join(p.dir, "data")); err != nil {
		return err
	}
	s.rec.note("%s loses its disk", p.name)
	time.Sleep(diskLostTime)
	if err := s.start(p); err != nil {
		return err
	}
	s.rec.note("%s is back with an empty disk", p.name)
	return nil
}

// checkConfig reads the config back at all machines in turn.
func (s *site) checkConfig(acked int) {
	answers := map[string]int{}
	client := &http.Client{Timeout: time.Second}
	for end, i := time.Now().Add(readLimit), 0; time.Now().Before(end); i++ {
		n := s.controls[i%len(s.controls)]
		got := "no answer"
		if resp, err := client.Get("http://" + n.ip + controlPort + "/api/config/get"); err == nil {
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			got = fmt.Sprint(resp.StatusCode)
			var doc struct{ Version int }
			if resp.StatusCode == http.StatusOK && json.Unmarshal(body, &doc) == nil {
				got = fmt.Sprintf("version %d", doc.Version)
				if doc.Version < acked {
					s.rec.violation("CONFIG: %s returns version %d after version %d was acknowledged", n.name, doc.Version, acked)
				}
				if doc.Version >= acked && i > 30 {
					s.rec.note("%s returns the config: %s", n.name, got)
					return
				}
			}
		}
		answers[got]++
		s.rec.add("config read at %s: %s", n.name, got)
		time.Sleep(100 * time.Millisecond)
	}
	s.rec.violation("CONFIG: version %d was acknowledged and cannot be read back within %v; answers: %v", acked, readLimit, answers)
}

// Command stand3 plays the scripts of the review on a small deployment of real processes on
// loopback addresses, with stand-ins for members, requesters and the platform.
//
// Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

func main() {
	root := flag.String("root", ".", "root of the repository, with the build of the deploy file")
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("keep", "", "folder for settings, logs and data; empty: a temporary one")
	flag.Parse()
	os.Exit(run(*root, *name, *path, *keep, os.Getenv("TROUBLE")))
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func run(root, name, path, keep, trouble string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer rec.close()
	play, ok := cases[name]
	if !ok {
		rec.note("there is no case %q", name)
		return exitFailed
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stand3-"); err != nil {
			rec.note("%v", err)
			return exitFailed
		}
		defer os.RemoveAll(dir)
	}
	go func() {
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
		<-interrupted
		killAll()
		os.Exit(exitFailed)
	}()
	defer killAll()
	if err := play(root, dir, rec, trouble); err != nil {
		rec.note("the case could not run: %v", err)
		return exitFailed
	}
	if n := rec.broken(); n > 0 {
		rec.note("result: the rule was broken %d times", n)
		return exitBroken
	}
	rec.note("result: the rule held")
	return exitHeld
}

var cases = map[string]func(root, dir string, rec *record, trouble string) error{
	"skipped-replica":   skippedReplica,
	"unknown-replica":   unknownReplica,
	"replaced-together": replacedTogether,
	"killed-at-start":   killedAtStart,
	"late-resume":       lateResume,
}

// load runs writers until the returned function is called, which reports what they saw.
func (s *site) load(writers int, pause time.Duration) (end func() (served, refused, doubtful int64)) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var all []*caller
	for i := range writers {
		c := &caller{site: s, name: fmt.Sprintf("w%d", i)}
		all = append(all, c)
		entries := append(append([]*proc{}, s.entries[i%len(s.entries):]...), s.entries[:i%len(s.entries)]...)
		wg.Go(func() { c.write(entries, pause, stop) })
	}
	return func() (served, refused, doubtful int64) {
		close(stop)
		wg.Wait()
		for _, c := range all {
			served, refused, doubtful = served+c.served.Load(), refused+c.refused.Load(), doubtful+c.doubtful.Load()
		}
		return served, refused, doubtful
	}
}

// awaitLeader waits until a member other than the given one leads.
func (g *group) awaitLeader(other *member, limit time.Duration) *member {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p := g.leader(); p != nil && p != other {
			return p
		}
	}
	return nil
}

// third returns the member that is neither of two.
func (g *group) third(a, b *member) *member {
	for _, m := range g.members {
		if m != a && m != b {
			return m
		}
	}
	return nil
}

func (s *site) finish(end func() (served, refused, doubtful int64)) error {
	served, refused, doubtful := end()
	s.rec.note("requests served %d, refused with a promise %d, other %d", served, refused, doubtful)
	if served == 0 {
		return fmt.Errorf("no write was served")
	}
	return nil
}

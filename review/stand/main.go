// Command stand plays the cases of the review: it starts the programs of the project as
// processes and stands in for the platform, the operator, members and requesters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// caseLimit is how long a case may run.
const caseLimit = 118 * time.Second

// cases are the cases by name. trouble says whether the disruption takes place.
var cases = map[string]func(s *site, trouble bool) (int, error){
	"core": coreCase, "sync": syncCase, "permits": permitsCase, "heartbeat": heartbeatCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE BINARY RECORD")
		return failed
	}
	s, err := newSite(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(caseLimit):
		}
		s.note("stopped before its end")
		s.close()
		os.Exit(failed)
	}()
	code, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.note("result: %d", code)
	fmt.Println(map[int]string{held: "held", broken: "broken"}[code])
	return code
}

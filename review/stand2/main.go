// Command stand2 plays the cases of the second review that are scripts: it starts the system's own
// programs on loopback addresses, with stand-ins of members, requesters, operator and platform, and
// checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their names. Each returns an error if it could not run.
var cases = map[string]func(bin string, trouble bool, rec *record) error{
	"newcomer":  playNewcomer,
	"returning": playReturning,
	"drain":     playDrain,
	"leaving":   playLeaving,
	"removed":   playRemoved,
}

func main() {
	name := flag.String("case", "", "case to play")
	bin := flag.String("bin", "target/tamarackcross", "binary of the system")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *bin, *out))
}

func play(name, bin, out string) int {
	f := cases[name]
	path, err := filepath.Abs(bin)
	if f == nil || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case, or no binary")
		return exitNotRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", name, trouble)
	err = f(path, trouble, rec)
	if err != nil {
		rec.add("not run: %v", err)
	}
	n := rec.close()
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return exitNotRun
	case n > 0:
		fmt.Printf("broken: %d violations\n", n)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

package flags_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/integrii/flaggy"

	"tamarackcross/flags"
)

// settings is one setting of each kind.
type settings struct {
	Name     string
	List     []string
	Bool     bool
	Int      int
	Duration time.Duration
	Address  string
	Choice   string
}

func (s *settings) declare() *flags.Set {
	var set flags.Set
	set.Required(&s.Name, "name", "name")
	set.List(&s.List, "list", "", "list")
	set.Bool(&s.Bool, "bool", false, "bool")
	set.Int(&s.Int, "int", 5, 1, 10, "int")
	set.Duration(&s.Duration, "wait-time", time.Second, 0, time.Hour, "duration")
	set.Address(&s.Address, "listen", "127.0.0.1:1", "address")
	set.Choice(&s.Choice, "level", "info", "choice", "info", "warn")
	return &set
}

// read parses a line of flags, with their values, and of variables.
func read(t *testing.T, line string) (settings, error) {
	t.Helper()
	var s settings
	set := s.declare()
	env := make(map[string]string)
	var args []string
	for _, field := range strings.Fields(line) {
		if k, v, ok := strings.Cut(field, "="); ok {
			env[k] = v
		} else {
			args = append(args, field)
		}
	}
	p := flaggy.NewParser("test")
	sub := flaggy.NewSubcommand("run")
	set.Register(sub)
	p.AttachSubcommand(sub, 1)
	if err := p.ParseArgs(append([]string{"run"}, args...)); err != nil {
		return s, err
	}
	return s, set.Finish(func(name string) string { return env[name] })
}

// TestInvalid guards the exact texts about invalid settings: they name the flag,
// the variable, the value and what is permitted, all at once.
func TestInvalid(t *testing.T) {
	datadriven.RunTest(t, "testdata/invalid", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			_, err := read(t, line)
			fmt.Fprintf(&out, "%s: %v\n", strings.TrimSpace(line), err)
		}
		return out.String()
	})
}

// TestOrder guards that a flag wins over its variable and that over the default.
func TestOrder(t *testing.T) {
	got, err := read(t, "--int 7 TAMARACKCROSS_INT=8 TAMARACKCROSS_WAIT_TIME=2s TAMARACKCROSS_NAME=n --list a,,b,c --bool true")
	if err != nil {
		t.Fatal(err)
	}
	want := settings{Name: "n", List: []string{"a", "b", "c"}, Bool: true, Int: 7, Duration: 2 * time.Second, Address: "127.0.0.1:1", Choice: "info"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

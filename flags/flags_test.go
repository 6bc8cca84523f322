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

// settings has one setting of each type.
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

// read parses a line of flags with their values ("--int 7") and of environment
// variables ("TAMARACKCROSS_INT=7").
func read(t *testing.T, line string) (settings, error) {
	t.Helper()
	var s settings
	set := s.declare()
	environment := make(map[string]string)
	var args []string
	for _, field := range strings.Fields(line) {
		if k, v, ok := strings.Cut(field, "="); ok {
			environment[k] = v
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
	return s, set.Resolve(func(name string) string { return environment[name] })
}

// TestInvalid guards against invalid settings that are accepted, and against an
// error that leaves out one of them or its flag, variable, value or permitted
// values, so that an operator would have to correct them one start at a time.
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

// TestPrecedence guards against a wrong order of precedence: a flag overrides its
// environment variable, which overrides the default.
func TestPrecedence(t *testing.T) {
	got, err := read(t, "--int 7 TAMARACKCROSS_INT=8 TAMARACKCROSS_WAIT_TIME=2s TAMARACKCROSS_NAME=n --list a,,b,c --bool true")
	if err != nil {
		t.Fatal(err)
	}
	want := settings{Name: "n", List: []string{"a", "b", "c"}, Bool: true, Int: 7, Duration: 2 * time.Second, Address: "127.0.0.1:1", Choice: "info"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

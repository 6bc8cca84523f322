package shape_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/shape"
)

func describe(s shape.Statement) string {
	out := s.Kind().String()
	if s.Name() != "" {
		out += fmt.Sprintf(" name=%s value=%q", s.Name(), s.Value())
	}
	for _, f := range []struct {
		on   bool
		name string
	}{
		{s.ReadOnly(), "readonly"},
		{s.Chain(), "chain"},
		{s.Local(), "local"},
		{s.Reset(), "reset"},
		{s.IsProxySetting(), "own"},
		{s.Pins(), "pins"},
	} {
		if f.on {
			out += " " + f.name
		}
	}
	return out
}

// TestScripts guards against statements that write but are classified as reads, and
// against different fingerprints of statements that differ only in literals.
func TestScripts(t *testing.T) {
	extended := shape.New(shape.WithFunctions("my_pure"))
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			lines := strings.Split(d.Input, "\n")
			switch d.Cmd {
			case "classify":
				for _, line := range lines {
					fmt.Fprintf(&out, "%s => %s\n", line, describe(shape.Classify(line)))
				}
			case "extended":
				for _, line := range lines {
					fmt.Fprintf(&out, "%s => %s\n", line, describe(extended.Classify(line)))
				}
			case "text":
				fmt.Fprintln(&out, describe(shape.Classify(d.Input)))
			case "split":
				for _, s := range shape.Split(d.Input) {
					fmt.Fprintf(&out, "[%s] %s\n", s.Text(), describe(s))
				}
			case "same":
				first := shape.Classify(lines[0]).Fingerprint()
				for _, line := range lines[1:] {
					fmt.Fprintf(&out, "%v\n", shape.Classify(line).Fingerprint() == first)
				}
			case "fingerprint":
				for _, line := range lines {
					fmt.Fprintf(&out, "%016x\n", shape.Classify(line).Fingerprint())
				}
			}
			return out.String()
		})
	})
}

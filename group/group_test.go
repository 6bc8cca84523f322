package group_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/group"
)

// TestPositions guards against comparing the offsets of positions of different
// terms, as if a discarded position were part of the log.
func TestPositions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var h group.History
		var starts group.Starts
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				switch d.Cmd {
				case "history":
					var err error
					if h, err = group.ParseHistory(line); err != nil {
						return "error: " + err.Error()
					}
					fmt.Fprintf(&out, "term=%d %s\n", h.Term(), h)
				case "contains":
					fmt.Fprintf(&out, "%s %s\n", line, h.StateOf(position(t, line)))
				case "covers-term-start":
					fmt.Fprintf(&out, "%s %v\n", line, h.CoversTermStart(position(t, line)))
				case "clip":
					fmt.Fprintf(&out, "%s -> %s\n", line, h.Clip(position(t, line)))
				case "start":
					var r group.StartRange
					if _, err := fmt.Sscanf(line, "%d %d %d", &r.Term, &r.Least, &r.Most); err != nil {
						t.Fatal(err)
					}
					starts = starts.With(r)
					fmt.Fprintf(&out, "%v\n", starts)
				case "most":
					fmt.Fprintf(&out, "%s, at most to %s\n", line, starts.ClipMost(position(t, line)))
				case "kept":
					fmt.Fprintf(&out, "%s %s, certain to %s\n", line, starts.StateOf(position(t, line)), starts.Clip(position(t, line)))
				case "less":
					a, b, _ := strings.Cut(line, " ")
					fmt.Fprintf(&out, "%s %v\n", line, position(t, a).Less(position(t, b)))
				case "parse":
					p, err := group.ParsePosition(line)
					fmt.Fprintf(&out, "%s %v\n", p, err != nil)
				default:
					d.Fatalf(t, "unknown command %s", d.Cmd)
				}
			}
			return out.String()
		})
	})
}

func position(t *testing.T, text string) group.Position {
	t.Helper()
	p, err := group.ParsePosition(text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

package fleet_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackcross/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestScripts guards against invalid documents that are accepted, problems that
// are not all reported at once, and exceptions that are applied in another order
// than documented.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		doc := fleet.Default()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var next *fleet.Document
			var err error
			switch d.Cmd {
			case "parse":
				next, err = fleet.Parse([]byte(d.Input))
			case "default":
				next, err = doc.WithDefault(d.CmdArgs[0].Key, d.CmdArgs[0].Vals[0])
			case "without":
				next, err = doc.WithoutException(scope(t, d))
			case "resolve":
				return renderSettings(doc.Resolve(scope(t, d)))
			case "yaml":
				return string(doc.YAML())
			case "many":
				next, err = fleet.Parse(manyExceptions(t, d))
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			if err != nil {
				return renderProblems(err)
			}
			doc = next
			return fmt.Sprintf("ok, %d exceptions", len(doc.Exceptions()))
		})
	})
}

func scope(t *testing.T, d *datadriven.TestData) (s fleet.Scope) {
	t.Helper()
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "database":
			s.Database = arg.Vals[0]
		case "caller":
			s.Caller = arg.Vals[0]
		case "fingerprint":
			fp, err := strconv.ParseUint(arg.Vals[0], 16, 64)
			if err != nil {
				t.Fatal(err)
			}
			s.Fingerprint = fp
		}
	}
	return s
}

func renderSettings(s fleet.Settings) string {
	return fmt.Sprintf("deadline=%s queue_wait=%s max_age=%s read_bound=%s max_connections=%d idle_connections=%d",
		s.Deadline, s.QueueWait, s.MaxAge, s.ReadBound, s.MaxConnections, s.IdleConnections)
}

func renderProblems(err error) string {
	var out strings.Builder
	for _, p := range fleet.AsInvalid(err).Problems() {
		fmt.Fprintln(&out, p)
	}
	return out.String()
}

func manyExceptions(t *testing.T, d *datadriven.TestData) []byte {
	t.Helper()
	var n int
	d.ScanArgs(t, "n", &n)
	var text bytes.Buffer
	text.WriteString("exceptions:\n")
	for i := range n {
		fmt.Fprintf(&text, "- {scope: {caller: c%d}, set: {max_age: 1s}, reason: load test, author: kim}\n", i)
	}
	return text.Bytes()
}

// TestRoundTrip guards against a document that changes when it is written as YAML
// and parsed again, as happens when it goes through the control log.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := fleet.Default()
		for range rapid.IntRange(0, 5).Draw(t, "exceptions") {
			doc = drawException(t, doc)
		}
		again, err := fleet.Parse(doc.YAML())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(doc.Exceptions(), again.Exceptions(), cmp.AllowUnexported(fleet.Overrides{})); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(string(doc.YAML()), string(again.YAML())); diff != "" {
			t.Fatal(diff)
		}
	})
}

func drawException(t *rapid.T, doc *fleet.Document) *fleet.Document {
	age := rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "age")
	set, err := fleet.Overrides{}.With("max_age", time.Duration(age).String())
	if err != nil {
		t.Fatal(err)
	}
	next, err := doc.WithException(fleet.Exception{
		Scope: fleet.Scope{
			Database:    rapid.StringMatching(`[a-z]{0,3}`).Draw(t, "database"),
			Caller:      rapid.StringN(0, 8, fleet.MaxNameBytes).Draw(t, "caller"),
			Fingerprint: rapid.Uint64().Draw(t, "fingerprint"),
		},
		Set:    set,
		Reason: rapid.StringN(1, 20, fleet.MaxReasonBytes).Draw(t, "reason"),
		Author: "kim",
	})
	if err != nil {
		return doc
	}
	return next
}

// FuzzParse guards against panics on arbitrary text, accepted documents that
// change when they are written and parsed again, and errors without a Problem.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := fleet.Parse(text)
		if err != nil {
			if e := fleet.AsInvalid(err); e == nil || len(e.Problems()) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			return
		}
		again, err := fleet.Parse(doc.YAML())
		if err != nil {
			t.Fatalf("parsing the canonical form failed: %v\n%s", err, doc.YAML())
		}
		if !bytes.Equal(doc.YAML(), again.YAML()) {
			t.Fatalf("canonical form changed when it was parsed and written again: %s", cmp.Diff(string(doc.YAML()), string(again.YAML())))
		}
	})
}

// BenchmarkResolve measures the cost of Resolve with the greatest number of
// exceptions. It is called for each statement.
func BenchmarkResolve(b *testing.B) {
	doc := fleet.Default()
	for i := range fleet.MaxExceptions {
		set, err := fleet.Overrides{}.With("max_age", "1s")
		if err != nil {
			b.Fatal(err)
		}
		s := fleet.Scope{Database: fmt.Sprintf("db-%d", i), Caller: []string{"", "reports"}[i%2]}
		if doc, err = doc.WithException(fleet.Exception{Scope: s, Set: set, Reason: "r", Author: "a"}); err != nil {
			b.Fatal(err)
		}
	}
	s := fleet.Scope{Database: "db-1", Caller: "reports", Fingerprint: 7}
	b.ReportAllocs()
	for b.Loop() {
		doc.Resolve(s)
	}
}

package meas

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/site"
)

// tiny is a site that starts within a moment.
var tiny = Profile{
	Name: "tiny",
	Plan: site.Plan{
		Zones:     []string{"zone-a", "zone-b", "zone-c"},
		Databases: []string{"app"},
		Entries:   2, Control: 1, Slots: 3, Connections: 20,
	},
	Between: 200 * time.Microsecond, Callers: 500 * time.Microsecond, Connect: time.Millisecond,
}

var tinyOptions = Options{Seed: 1, Duration: 150 * time.Millisecond, Quick: true}

// row holds the fields that tests look at.
type row struct {
	Variant    string        `json:"variant"`
	Offered    int64         `json:"offered"`
	Reads      int64         `json:"reads"`
	Checked    int64         `json:"reads_checked"`
	Older      int64         `json:"reads_older_than_session"`
	AgeChecked int64         `json:"age_reads_checked"`
	AgeOlder   int64         `json:"age_reads_older_than_bound"`
	NotRunRan  int64         `json:"not_run_but_ran"`
	DoneLost   int64         `json:"done_but_missing"`
	Long       PhaseResult   `json:"long"`
	Alone      PhaseResult   `json:"short_alone"`
	Beside     PhaseResult   `json:"short_beside_long"`
	Phases     []PhaseResult `json:"phases"`
}

func rowsOf(t *testing.T, text []byte) []row {
	t.Helper()
	var out []row
	for _, line := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
		var r row
		if err := json.Unmarshal(line, &r); err != nil {
			t.Fatalf("row %q: %v", line, err)
		}
		out = append(out, r)
	}
	return out
}

func variantsOf(rows []row) []string {
	var out []string
	for _, r := range rows {
		out = append(out, r.Variant)
	}
	return out
}

type runner func(context.Context, *Output, Profile, Options) error

// runTiny runs an experiment and its report on a tiny site.
func runTiny(t *testing.T, name string, run runner) []row {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	var text bytes.Buffer
	out := NewOutput(&text)
	if err := run(ctx, out, tiny, tinyOptions); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := out.WriteReport(dir, name); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, name+".html"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(page, []byte(name+"-1.svg")) {
		t.Error("the report shows no plot")
	}
	return rowsOf(t, text.Bytes())
}

// TestOverhead guards against a harness that reads nothing one of the ways, or
// whose callers do not reach the entry. It does not run beside other tests,
// because it measures the memory of the process.
func TestOverhead(t *testing.T) {
	var r OverheadResult
	ctx := context.Background()
	var text bytes.Buffer
	if err := Overhead(ctx, NewOutput(&text), tinyOptions); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	for name, v := range map[string]float64{
		"direct p50": r.DirectP50, "proxy p50": r.ProxyP50, "direct reads": r.DirectReads, "proxy reads": r.ProxyReads,
		"direct CPU": r.DirectCPU, "proxy CPU": r.ProxyCPU, "idle bytes": r.IdleBytes,
	} {
		if v <= 0 {
			t.Errorf("%s is %g", name, v)
		}
	}
	if r.IdleCallers != idleCallersQuick {
		t.Errorf("%d idle callers, want %d", r.IdleCallers, idleCallersQuick)
	}
}

// TestCrest guards against phases without load, and against a check of refused
// writes that finds some that ran.
func TestCrest(t *testing.T) {
	t.Parallel()
	rows := runTiny(t, "crest", Crest)
	if diff := cmp.Diff([]string{"tamarackcross", "baseline", "ratio"}, variantsOf(rows)); diff != "" {
		t.Fatal(diff)
	}
	for _, r := range rows[:2] {
		for _, p := range r.Phases {
			if p.Offered == 0 {
				t.Errorf("%s: phase %s has no load", r.Variant, p.Phase)
			}
		}
		if r.Phases[0].InTime == 0 {
			t.Errorf("%s answered nothing at normal load", r.Variant)
		}
		if r.NotRunRan != 0 || r.DoneLost != 0 {
			t.Errorf("%s: %d refused writes ran, %d acknowledged writes are missing", r.Variant, r.NotRunRan, r.DoneLost)
		}
	}
}

// TestReplicas guards against sessions that check nothing, and against a check
// of ages that finds old reads through the entries.
func TestReplicas(t *testing.T) {
	t.Parallel()
	rows := runTiny(t, "replicas", Replicas)
	want := []string{"tamarackcross", "baseline", "ratio", "tamarackcross", "baseline", "ratio"}
	if diff := cmp.Diff(want, variantsOf(rows)); diff != "" {
		t.Fatal(diff)
	}
	for _, r := range rows {
		if r.Variant == ratioVariant {
			continue
		}
		if r.Checked == 0 || r.AgeChecked == 0 || r.Checked != r.Reads {
			t.Errorf("%s checked %d of %d reads and %d with an age", r.Variant, r.Checked, r.Reads, r.AgeChecked)
		}
		if r.Variant == string(Proxy) && r.Older+r.AgeOlder != 0 {
			t.Errorf("%d reads are older than the session, %d than their age", r.Older, r.AgeOlder)
		}
	}
}

// TestShortWork guards against a run in which one class of work is missing.
func TestShortWork(t *testing.T) {
	t.Parallel()
	rows := runTiny(t, "shortwork", ShortWork)
	want := slices.Repeat([]string{"tamarackcross", "baseline", "ratio"}, len(tinyOptions.shortLoads()))
	if diff := cmp.Diff(want, variantsOf(rows)); diff != "" {
		t.Fatal(diff)
	}
	for _, r := range rows {
		if r.Variant == ratioVariant {
			continue
		}
		if r.Alone.InTime == 0 || r.Beside.InTime == 0 || r.Long.Offered == 0 {
			t.Errorf("%s: alone %d, beside %d, long %d", r.Variant, r.Alone.InTime, r.Beside.InTime, r.Long.Offered)
		}
	}
}

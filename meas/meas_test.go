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

// tiny is a small deployment that starts quickly.
var tiny = Profile{
	Name: "tiny",
	Plan: site.Plan{
		Zones:     []string{"zone-a", "zone-b", "zone-c"},
		Databases: []string{"app"},
		Entries:   2, Control: 1, Slots: 3, Connections: 20,
	},
	BetweenZones: 200 * time.Microsecond, ToCallers: 500 * time.Microsecond, ConnectTime: time.Millisecond,
}

var tinyOptions = Options{Seed: 1, Duration: 150 * time.Millisecond, Quick: true}

// row holds the fields of a row that the tests check.
type row struct {
	Variant        string        `json:"variant"`
	Offered        int64         `json:"offered"`
	Reads          int64         `json:"reads"`
	Checked        int64         `json:"reads_checked"`
	Stale          int64         `json:"reads_older_than_session"`
	AgeChecked     int64         `json:"age_reads_checked"`
	AgeStale       int64         `json:"age_reads_older_than_bound"`
	NotRunExecuted int64         `json:"not_run_but_ran"`
	DoneMissing    int64         `json:"done_but_missing"`
	Long           PhaseResult   `json:"long"`
	Alone          PhaseResult   `json:"short_alone"`
	Beside         PhaseResult   `json:"short_beside_long"`
	Phases         []PhaseResult `json:"phases"`
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

type experiment func(context.Context, *Output, Profile, Options) error

// runTiny runs an experiment on the profile tiny, writes its report and returns the
// rows.
func runTiny(t *testing.T, name string, run experiment) []row {
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
		t.Error("the report page refers to no plot")
	}
	return rowsOf(t, text.Bytes())
}

// TestOverhead guards against an experiment that measures no reads, through the
// proxy or directly, or whose idle callers do not reach the entry. It does not run
// in parallel with other tests because it measures the memory of the process.
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
			t.Errorf("%s is %g, want more than 0", name, v)
		}
	}
	if r.IdleCallers != idleCallersQuick {
		t.Errorf("%d idle callers, want %d", r.IdleCallers, idleCallersQuick)
	}
}

// TestCrest guards against phases without load, against writes that ran although
// they were rejected, and against acknowledged writes that are lost.
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
			t.Errorf("%s answered no request in time at normal load", r.Variant)
		}
		if r.NotRunExecuted != 0 || r.DoneMissing != 0 {
			t.Errorf("%s: %d writes reported as not run did run, %d acknowledged writes are missing", r.Variant, r.NotRunExecuted, r.DoneMissing)
		}
	}
}

// TestReplicas guards against sessions and age checks that check no reads, and
// against reads through the entries that are older than the session or the age bound
// allows.
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
			t.Errorf("%s checked %d of %d reads, and %d reads with an age bound", r.Variant, r.Checked, r.Reads, r.AgeChecked)
		}
		if r.Variant == string(Proxy) && r.Stale+r.AgeStale != 0 {
			t.Errorf("%d reads are older than the session allows, %d older than the age bound", r.Stale, r.AgeStale)
		}
	}
}

// TestShortWork guards against runs without short or without long requests.
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
			t.Errorf("%s: a kind of request is missing: %d short alone, %d short beside long, %d long", r.Variant, r.Alone.InTime, r.Beside.InTime, r.Long.Offered)
		}
	}
}

package inst_test

import (
	"errors"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"tamarackcross/admin"
	"tamarackcross/cmds"
	"tamarackcross/fleet"
	"tamarackcross/inst"
	"tamarackcross/store"
)

// TestRestartAfterChanges guards against a process that brings old settings
// back after it missed many changes (F9): by HTTP, and by the settings that the
// entry resolves.
func TestRestartAfterChanges(t *testing.T) {
	const missed = 500
	r := newRig(t, 3, 1)
	r.startAll()
	const control, diskless = 2, 3
	had := change(t, r.ins[0], 0, document(t, time.Second))
	for _, i := range []int{control, diskless} {
		await(t, "version before the stop", waitLimit, func() bool { return r.ins[i].Fleet().Version == had })
		r.stop(i)
	}
	newest := had
	for range missed {
		newest = change(t, r.ins[0], newest, document(t, time.Minute))
	}
	for _, i := range []int{control, diskless} {
		took := reaches(t, r.start(i), had, newest)
		t.Logf("%s is at version %d after %s", r.cfgs[i].Name, newest, took)
	}
}

// reaches watches an instance from its start until it has the newest version,
// and fails if it shows one older than had meanwhile.
func reaches(t *testing.T, in *inst.Instance, had, newest uint64) time.Duration {
	t.Helper()
	return await(t, "newest version", forceGoal, func() bool {
		if v := in.Views().View().Config().Version(); v != 0 && v < newest {
			t.Fatalf("settings of version %d are in force after a restart, newest is %d", v, newest)
		}
		var f admin.Fleet
		code := call(t, http.MethodGet, in.Admin(), "/v1/fleet", nil, &f)
		if code == http.StatusOK && f.Version < had {
			t.Fatalf("version %d is shown, the instance had %d", f.Version, had)
		}
		return code == http.StatusOK && f.Version == newest
	})
}

// TestOperatorsRace guards against two changes on one version that both win, a
// resent change that is made twice, and an exception without a reason.
func TestOperatorsRace(t *testing.T) {
	r := newRig(t, 3, 0)
	r.startAll()
	changes := []admin.Change{
		{ID: "a", Author: "ann", Document: document(t, time.Second)},
		{ID: "b", Author: "bob", Document: document(t, 2*time.Second)},
	}
	codes, results := race(t, r, changes)
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusConflict}, codes, cmpopts.SortSlices(func(a, b int) bool { return a < b })); diff != "" {
		t.Fatal(diff)
	}
	won := 0
	if codes[1] == http.StatusOK {
		won = 1
	}
	lost := 1 - won
	want := admin.ChangeResult{
		ID: changes[lost].ID, Version: 1, WinnerID: changes[won].ID, WinnerAuthor: changes[won].Author,
		WinnerVersion: 1, Error: "another change was made on the same version",
	}
	if diff := cmp.Diff(want, results[lost]); diff != "" {
		t.Fatal(diff)
	}
	codesAgain, resultsAgain := race(t, r, changes)
	if diff := cmp.Diff(codes, codesAgain); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(results, resultsAgain); diff != "" {
		t.Fatal(diff)
	}
}

// race submits each change to an instance of its own at once.
func race(t *testing.T, r *rig, changes []admin.Change) ([]int, []admin.ChangeResult) {
	t.Helper()
	codes := make([]int, len(changes))
	results := make([]admin.ChangeResult, len(changes))
	var wg sync.WaitGroup
	for i := range changes {
		wg.Go(func() { codes[i] = call(t, http.MethodPost, r.ins[i].Admin(), "/v1/fleet", changes[i], &results[i]) })
	}
	wg.Wait()
	return codes, results
}

// TestExceptionWithoutReason guards against an exception that nobody can
// explain later.
func TestExceptionWithoutReason(t *testing.T) {
	r := newRig(t, 1, 0)
	r.startAll()
	doc := "exceptions:\n- scope: {database: app}\n  set: {deadline: 1s}\n  author: ann\n"
	var body struct {
		Error string `json:"error"`
	}
	code := call(t, http.MethodPost, r.ins[0].Admin(), "/v1/fleet", admin.Change{ID: "x", Author: "ann", Document: doc}, &body)
	if code != http.StatusUnprocessableEntity || !strings.Contains(body.Error, "exceptions[0].reason") {
		t.Fatalf("status %d, %q", code, body.Error)
	}
}

// TestChangeInForce guards against an instance that goes on with old settings
// (P9). The time is taken from the submission to the last of the instances.
func TestChangeInForce(t *testing.T) {
	r := newRig(t, 3, 5)
	r.startAll()
	for v := range uint64(5) {
		want := time.Duration(v+1) * time.Second
		start := time.Now()
		change(t, r.ins[v], v, document(t, want))
		await(t, "the change is in force everywhere", forceGoal, func() bool {
			for _, in := range r.ins {
				if in.Views().Resolve(fleet.Scope{Database: "app"}).Deadline != want {
					return false
				}
			}
			return true
		})
		t.Logf("change %d is in force on %d instances after %s", v+1, len(r.ins), time.Since(start))
	}
}

// TestDamagedFolder guards against a control member that goes on without a part
// of the log that it may have acknowledged.
func TestDamagedFolder(t *testing.T) {
	r := newRig(t, 1, 0)
	r.startAll()
	for v := range uint64(20) {
		change(t, r.ins[0], v, document(t, time.Second))
	}
	r.stop(0)
	logs, err := filepath.Glob(filepath.Join(r.cfgs[0].DataDir, "log-*"))
	if err != nil || len(logs) != 1 {
		t.Fatalf("log files %v, %v", logs, err)
	}
	flip(t, logs[0], 2000)
	if _, err := inst.Start(r.cfgs[0]); !errors.Is(err, store.ErrDamaged) {
		t.Fatalf("started with %v", err)
	}
	var stdout, stderr strings.Builder
	code := cmds.Run([]string{
		"control", "--name", "c", "--zone", "z", "--data-dir", r.cfgs[0].DataDir,
		"--listen-peer", "127.0.0.1:0", "--listen-admin", "127.0.0.1:0",
	}, &stdout, &stderr)
	if code != cmds.ExitDamaged || !strings.Contains(stderr.String(), "is damaged at offset") {
		t.Fatalf("exit code %d, %s", code, stderr.String())
	}
}

package inst_test

import (
	"errors"
	"fmt"
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

// TestRestartAfterChanges guards against an instance that puts old settings into
// force, or serves them over HTTP, when it starts after missing many changes: a
// control member replays its old log and snapshot, and an entry without a disk
// starts with no state at all.
func TestRestartAfterChanges(t *testing.T) {
	const missed = 500
	r := newCluster(t, 3, 1)
	r.startAll()
	const control, diskless = 2, 3 // indexes of the instances that are restarted
	had := change(t, r.insts[0], 0, document(t, time.Second))
	for _, i := range []int{control, diskless} {
		await(t, "version before the stop", waitTimeout, func() bool { return r.insts[i].Fleet().Version == had })
		r.stop(i)
	}
	newest := had
	for range missed {
		newest = change(t, r.insts[0], newest, document(t, time.Minute))
	}
	for _, i := range []int{control, diskless} {
		took := awaitVersion(t, r.start(i), had, newest)
		t.Logf("%s is at version %d after %s", r.cfgs[i].Name, newest, took)
	}
}

// awaitVersion waits until an instance that was just started has the newest
// version. It fails if the instance puts an older one into force, or serves a
// version older than had, which was in force before the restart.
func awaitVersion(t *testing.T, in *inst.Instance, had, newest uint64) time.Duration {
	t.Helper()
	return await(t, "newest version", inForceTarget, func() bool {
		if v := in.Views().View().Config().Version(); v != 0 && v < newest {
			t.Fatalf("settings of version %d are in force after a restart; the newest version is %d", v, newest)
		}
		var f admin.Fleet
		code := call(t, http.MethodGet, in.AdminAddr(), "/v1/fleet", nil, &f)
		if code == http.StatusOK && f.Version < had {
			t.Fatalf("version %d is served after a restart; the instance had version %d before", f.Version, had)
		}
		return code == http.StatusOK && f.Version == newest
	})
}

// TestConcurrentChanges guards against two operators who both change the same
// version at the same time and are both told that their change was accepted, and
// against a change that is applied again when it is sent a second time.
func TestConcurrentChanges(t *testing.T) {
	r := newCluster(t, 3, 0)
	r.startAll()
	changes := []admin.Change{
		{ID: "a", Author: "ann", Document: document(t, time.Second)},
		{ID: "b", Author: "bob", Document: document(t, 2*time.Second)},
	}
	codes, results := submitAtOnce(t, r, changes)
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusConflict}, codes, cmpopts.SortSlices(func(a, b int) bool { return a < b })); diff != "" {
		t.Fatal(diff)
	}
	winner := 0
	if codes[1] == http.StatusOK {
		winner = 1
	}
	loser := 1 - winner
	want := admin.ChangeResult{
		ID: changes[loser].ID, Version: 1, WinnerID: changes[winner].ID, WinnerAuthor: changes[winner].Author,
		WinnerVersion: 1, Error: "another change was made on the same version",
	}
	if diff := cmp.Diff(want, results[loser]); diff != "" {
		t.Fatal(diff)
	}
	codesAgain, resultsAgain := submitAtOnce(t, r, changes)
	if diff := cmp.Diff(codes, codesAgain); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(results, resultsAgain); diff != "" {
		t.Fatal(diff)
	}
}

// submitAtOnce submits all changes at the same time, each to another instance.
func submitAtOnce(t *testing.T, r *cluster, changes []admin.Change) ([]int, []admin.ChangeResult) {
	t.Helper()
	codes := make([]int, len(changes))
	results := make([]admin.ChangeResult, len(changes))
	var wg sync.WaitGroup
	for i := range changes {
		wg.Go(func() {
			codes[i] = call(t, http.MethodPost, r.insts[i].AdminAddr(), "/v1/fleet", changes[i], &results[i])
		})
	}
	wg.Wait()
	return codes, results
}

// TestExceptionWithoutReason guards against an exception that is accepted without
// a reason, so that nobody can later tell whether it is still needed.
func TestExceptionWithoutReason(t *testing.T) {
	r := newCluster(t, 1, 0)
	r.startAll()
	doc := "exceptions:\n- scope: {database: app}\n  set: {deadline: 1s}\n  author: ann\n"
	var body struct {
		Error string `json:"error"`
	}
	code := call(t, http.MethodPost, r.insts[0].AdminAddr(), "/v1/fleet", admin.Change{ID: "x", Author: "ann", Document: doc}, &body)
	if code != http.StatusUnprocessableEntity || !strings.Contains(body.Error, "exceptions[0].reason") {
		t.Fatalf("status %d, %q", code, body.Error)
	}
}

// TestChangeInForce guards against an instance that keeps old settings in force
// after a change. The time is measured from the submission of the change until it
// is in force on the last instance.
func TestChangeInForce(t *testing.T) {
	r := newCluster(t, 3, 5)
	r.startAll()
	t.Cleanup(func() {
		if t.Failed() {
			r.logVersions()
		}
	})
	for v := range uint64(5) {
		want := time.Duration(v+1) * time.Second
		start := time.Now()
		change(t, r.insts[v], v, document(t, want))
		t.Logf("change %d was accepted after %s", v+1, time.Since(start))
		await(t, "the change is in force everywhere", inForceTarget, func() bool {
			for _, in := range r.insts {
				if in.Views().Resolve(fleet.Scope{Database: "app"}).Deadline != want {
					return false
				}
			}
			return true
		})
		t.Logf("change %d is in force on %d instances after %s", v+1, len(r.insts), time.Since(start))
	}
}

// TestDamagedDataDirectory guards against a control member that starts with a
// damaged log and so without entries that it may have acknowledged.
func TestDamagedDataDirectory(t *testing.T) {
	r := newCluster(t, 1, 0)
	r.startAll()
	for v := range uint64(20) {
		change(t, r.insts[0], v, document(t, time.Second))
	}
	r.stop(0)
	logs, err := filepath.Glob(filepath.Join(r.cfgs[0].DataDir, "log-*"))
	if err != nil || len(logs) != 1 {
		t.Fatalf("log files %v, %v", logs, err)
	}
	flipByte(t, logs[0], 2000)
	if _, err := inst.Start(r.cfgs[0]); !errors.Is(err, store.ErrDamaged) {
		t.Fatalf("start with a damaged log: got %v, want ErrDamaged", err)
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

// logVersions logs the version that each instance has, and the role of those with control.
func (r *cluster) logVersions() {
	for _, in := range r.insts {
		role := "none"
		if n := in.Control(); n != nil {
			st := n.Status()
			role = fmt.Sprintf("%s in term %d, commit %d", st.Role, st.Term, st.Commit)
		}
		r.t.Logf("%s: version %d, deadline %s, control: %s", in.Name(), in.Fleet().Version, in.Views().Resolve(fleet.Scope{Database: "app"}).Deadline, role)
	}
}

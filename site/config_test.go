package site_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sourcegraph/conc"

	"tamarackcross/admin"
	"tamarackcross/fleet"
	"tamarackcross/site"
)

// change submits configurations with new deadlines, each based on the version of
// the one before. Each is repeated with the same ID until an answer arrives.
func (s *scenario) change(d *datadriven.TestData) func() string {
	i, id, base := s.instance(s.arg(d, "at", "entry-1")), s.arg(d, "id", "change"), s.intArg(d, "base", 0)
	count, deadline := s.intArg(d, "count", 1), s.durationArg(d, "deadline", 5*time.Second)
	return func() string {
		result := ""
		for n := range count {
			name := id
			if n > 0 {
				name = fmt.Sprintf("%s-%d", id, n)
			}
			code, reply := s.submitChange(i, admin.Change{ID: name, Base: uint64(base + n), Author: "operator"}, deadline+time.Duration(n)*time.Millisecond)
			if code != http.StatusOK {
				return fmt.Sprintf("status %d winner=%s version=%d", code, reply.WinnerID, reply.WinnerVersion)
			}
			result = fmt.Sprintf("accepted version=%d", reply.Version)
		}
		return result
	}
}

func (s *scenario) submitChange(i int, c admin.Change, deadline time.Duration) (code int, r admin.ChangeResult) {
	doc, err := fleet.Default().WithDefault("deadline", deadline.String())
	if err != nil {
		s.t.Error(err)
		return 0, r
	}
	c.Document = string(doc.YAML())
	body, err := json.Marshal(c)
	if err != nil {
		s.t.Error(err)
		return 0, r
	}
	s.await(defaultTimeout, func() bool {
		r = admin.ChangeResult{}
		code = fleetRequest(s.ctx, http.MethodPost, s.site.Instance(i).AdminAddr(), body, &r)
		return code == http.StatusOK || code == http.StatusConflict
	})
	return code, r
}

// race submits changes based on the same version through several instances at
// once. It sets $winner to the ID of the accepted change.
func (s *scenario) race(d *datadriven.TestData) string {
	base := s.intArg(d, "base", 0)
	var ids []string
	var results []admin.ChangeResult
	var mu sync.Mutex
	var wg conc.WaitGroup
	for n, a := range d.CmdArgs {
		if len(a.Vals) > 0 {
			continue
		}
		i, id := s.instance(s.resolve(a.Key)), fmt.Sprintf("race-%d-%d", base, n)
		ids = append(ids, id)
		wg.Go(func() {
			_, r := s.submitChange(i, admin.Change{ID: id, Base: uint64(base), Author: id}, time.Duration(4000+n)*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	}
	wg.Wait()
	accepted, version := "", uint64(0)
	for _, r := range results {
		if r.Accepted {
			accepted += r.ID
			version = r.Version
		}
	}
	for _, r := range results {
		if !r.Accepted && (r.WinnerID != accepted || r.WinnerVersion != version) {
			return fmt.Sprintf("instances name different winners: %+v", results)
		}
	}
	if !slices.Contains(ids, accepted) {
		return fmt.Sprintf("not exactly one change was accepted: %+v", results)
	}
	s.variables["$winner"] = accepted
	return fmt.Sprintf("one accepted version=%d", version)
}

// fleetRequestTimeout is longer than the time in which an instance must answer a
// change.
const fleetRequestTimeout = 4 * time.Second

// fleetRequest calls the fleet API of an instance and returns the HTTP status, or 0
// if there was no valid answer.
func fleetRequest(ctx context.Context, method, addr string, body []byte, into any) int {
	ctx, stop := context.WithTimeout(ctx, fleetRequestTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/v1/fleet", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return 0
	}
	return resp.StatusCode
}

// versionPollInterval is the time between rounds of a versionWatcher.
const versionPollInterval = 10 * time.Millisecond

// versionWatcher records each time that an instance reports a lower configuration
// version than before, also across its restarts.
type versionWatcher struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu          sync.Mutex
	regressions []string
}

func watchVersions(ctx context.Context, s *site.Site) *versionWatcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &versionWatcher{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx, s)
	}()
	return w
}

func (w *versionWatcher) run(ctx context.Context, s *site.Site) {
	highest := make([]uint64, s.Plan().Entries)
	for ctx.Err() == nil {
		for i := range highest {
			var f admin.Fleet
			if fleetRequest(ctx, http.MethodGet, s.Instance(i).AdminAddr(), nil, &f) != http.StatusOK {
				continue
			}
			if f.Version < highest[i] {
				w.record(fmt.Sprintf("%s reverted from configuration version %d to %d", f.Instance, highest[i], f.Version))
			}
			highest[i] = max(highest[i], f.Version)
		}
		time.Sleep(versionPollInterval)
	}
}

func (w *versionWatcher) record(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.regressions = append(w.regressions, text)
}

func (w *versionWatcher) problems() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.regressions
}

func (w *versionWatcher) stop() {
	w.cancel()
	<-w.done
}

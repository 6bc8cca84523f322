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

// change submits new deadlines in the configuration, one on top of the other and
// each again with the same identifier until an answer comes.
func (s *scene) change(d *datadriven.TestData) func() string {
	i, id, base := s.instance(s.arg(d, "at", "entry-1")), s.arg(d, "id", "change"), s.number(d, "base", 0)
	count, deadline := s.number(d, "count", 1), s.duration(d, "deadline", 5*time.Second)
	return func() string {
		last := ""
		for n := range count {
			name := id
			if n > 0 {
				name = fmt.Sprintf("%s-%d", id, n)
			}
			code, r := s.submit(i, admin.Change{ID: name, Base: uint64(base + n), Author: "operator"}, deadline+time.Duration(n)*time.Millisecond)
			if code != http.StatusOK {
				return fmt.Sprintf("status %d winner=%s version=%d", code, r.WinnerID, r.WinnerVersion)
			}
			last = fmt.Sprintf("accepted version=%d", r.Version)
		}
		return last
	}
}

func (s *scene) submit(i int, c admin.Change, deadline time.Duration) (code int, r admin.ChangeResult) {
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
	s.await(limit, func() bool {
		r = admin.ChangeResult{}
		code = request(s.ctx, http.MethodPost, s.site.Instance(i).Admin(), body, &r)
		return code == http.StatusOK || code == http.StatusConflict
	})
	return code, r
}

// race submits changes on the same version through several instances at once.
// The name $winner stands for the identifier of the one that was accepted.
func (s *scene) race(d *datadriven.TestData) string {
	base := s.number(d, "base", 0)
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
			_, r := s.submit(i, admin.Change{ID: id, Base: uint64(base), Author: id}, time.Duration(4000+n)*time.Millisecond)
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
			return fmt.Sprintf("no agreement: %+v", results)
		}
	}
	if !slices.Contains(ids, accepted) {
		return fmt.Sprintf("not one winner: %+v", results)
	}
	s.names["$winner"] = accepted
	return fmt.Sprintf("one accepted version=%d", version)
}

// requestLimit is longer than an instance may take to answer a change.
const requestLimit = 4 * time.Second

// request calls the fleet API of an instance. It returns 0 without an answer.
func request(ctx context.Context, method, addr string, body []byte, into any) int {
	ctx, stop := context.WithTimeout(ctx, requestLimit)
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

// watchEvery is the time between looks at the version that an instance shows.
const watchEvery = 10 * time.Millisecond

// watcher notes each instance that shows a lower configuration version than
// before, also across its restarts.
type watcher struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	found []string
}

func watchVersions(ctx context.Context, s *site.Site) *watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx, s)
	}()
	return w
}

func (w *watcher) run(ctx context.Context, s *site.Site) {
	highest := make([]uint64, s.Plan().Entries)
	for ctx.Err() == nil {
		for i := range highest {
			var f admin.Fleet
			if request(ctx, http.MethodGet, s.Instance(i).Admin(), nil, &f) != http.StatusOK {
				continue
			}
			if f.Version < highest[i] {
				w.note(fmt.Sprintf("%s went back from version %d to %d", f.Instance, highest[i], f.Version))
			}
			highest[i] = max(highest[i], f.Version)
		}
		time.Sleep(watchEvery)
	}
}

func (w *watcher) note(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.found = append(w.found, text)
}

func (w *watcher) problems() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.found
}

func (w *watcher) stop() {
	w.cancel()
	<-w.done
}

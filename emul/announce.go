package emul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

const (
	announcePath   = "/v1/announce"
	defaultTTL     = 3 * time.Second
	renewalsPerTTL = 3
	retriesPerTTL  = 12 // attempts per time to live while announcements fail
)

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Store       string `json:"store"`
	Database    string `json:"database"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	TTLMillis   int64  `json:"ttl_ms"`
	Leaving     bool   `json:"leaving"`
}

// Announcer announces a server to entry and control instances.
type Announcer struct {
	s           *Server
	urls        []string
	ttl         time.Duration
	incarnation uint64
	client      *http.Client

	mu      sync.Mutex
	leaving bool
	changed chan struct{} // closed and replaced by Leave
}

// AnnounceOption configures an Announcer.
type AnnounceOption func(*Announcer)

// WithTTL sets the time to live of an announcement.
func WithTTL(d time.Duration) AnnounceOption { return func(a *Announcer) { a.ttl = d } }

// WithIncarnation sets the incarnation. By default it is the time of NewAnnouncer in
// Unix milliseconds.
func WithIncarnation(n uint64) AnnounceOption { return func(a *Announcer) { a.incarnation = n } }

// NewAnnouncer returns an Announcer of s to the instances at the given base URLs,
// such as "http://127.0.0.1:8080".
func NewAnnouncer(s *Server, urls []string, opts ...AnnounceOption) *Announcer {
	a := &Announcer{
		s:           s,
		urls:        urls,
		ttl:         defaultTTL,
		incarnation: uint64(time.Now().UnixMilli()),
		changed:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.client = &http.Client{
		Timeout: a.ttl / renewalsPerTTL,
		Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return s.m.dial(ctx, addr)
		}},
	}
	return a
}

// Leave marks the server as leaving in all later announcements and sends one at
// once.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return
	}
	a.leaving = true
	close(a.changed)
	a.changed = make(chan struct{})
}

// Run sends announcements until ctx ends. A frozen member sends none.
func (a *Announcer) Run(ctx context.Context) error {
	defer a.client.CloseIdleConnections()
	for {
		if err := a.s.m.awaitThaw(ctx); err != nil {
			return nil
		}
		body, changed, err := a.body()
		if err != nil {
			return err
		}
		interval := a.ttl / renewalsPerTTL
		if !a.post(ctx, body) {
			interval = a.ttl / retriesPerTTL
		}
		if !waitChange(ctx, changed, time.Now().Add(interval), true) {
			return nil
		}
	}
}

func (a *Announcer) body() ([]byte, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.s.m
	raw, err := json.Marshal(Announcement{
		Instance:    m.name,
		Incarnation: a.incarnation,
		Store:       m.Status().Store,
		Database:    m.database,
		Zone:        a.s.zone,
		Address:     a.s.Addr(),
		Slots:       cap(m.slots),
		Connections: m.maxConns,
		TTLMillis:   a.ttl.Milliseconds(),
		Leaving:     a.leaving,
	})
	return raw, a.changed, eris.Wrap(err, "encode announcement")
}

// post sends the announcement to all URLs concurrently and reports whether all of
// them accepted it.
func (a *Announcer) post(ctx context.Context, body []byte) bool {
	accepted := make([]bool, len(a.urls))
	var wg conc.WaitGroup
	for i, url := range a.urls {
		wg.Go(func() { accepted[i] = a.postOne(ctx, url+announcePath, body) == nil })
	}
	wg.Wait()
	for _, ok := range accepted {
		if !ok {
			return false
		}
	}
	return true
}

func (a *Announcer) postOne(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create announcement request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send announcement")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return eris.Wrap(err, "read answer to announcement")
	}
	if resp.StatusCode/100 != 2 {
		return eris.Errorf("announcement was not accepted: HTTP status %d", resp.StatusCode)
	}
	return nil
}

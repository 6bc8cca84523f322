// Package admin serves the platform, backend servers and operators over HTTP:
// health, readiness, metrics, announcements and the fleet configuration.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"tamarackcross/fleet"
	"tamarackcross/stats"
)

const maxBody = 256 << 10 // bytes of a request body

// Announcement is the body of POST /v1/announce. Incarnation grows at each
// start of the backend server, Store changes when its data is lost.
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

// Limits of an announcement.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	minTTL         = 100 // milliseconds
	maxTTL         = 3_600_000
)

// check names the first field that is out of range.
func (a Announcement) check() error {
	switch {
	case a.Instance == "" || a.Database == "" || a.Zone == "" || a.Address == "" || a.Store == "":
		return errors.New("instance, store, database, zone and address are required")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.New("slots must be from 1 to 10000")
	case a.Connections < 1 || a.Connections > maxConnections:
		return errors.New("connections must be from 1 to 100000")
	case a.TTLMillis < minTTL || a.TTLMillis > maxTTL:
		return errors.New("ttl_ms must be from 100 to 3600000")
	}
	return nil
}

// Change is the body of POST /v1/fleet: a new document on top of version Base.
type Change struct {
	ID       string `json:"id"`
	Base     uint64 `json:"base"`
	Author   string `json:"author"`
	Document string `json:"document"`
}

// ChangeResult answers a change. A change that lost a race names the winner.
type ChangeResult struct {
	ID            string `json:"id"`
	Accepted      bool   `json:"accepted"`
	Version       uint64 `json:"version"`
	WinnerID      string `json:"winner_id,omitempty"`
	WinnerAuthor  string `json:"winner_author,omitempty"`
	WinnerVersion uint64 `json:"winner_version,omitempty"`
	Error         string `json:"error,omitempty"`
}

// Fleet is the answer of GET /v1/fleet.
type Fleet struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"`
	Term     uint64 `json:"term"`
	Index    uint64 `json:"index"`
	ID       string `json:"id"`
	Author   string `json:"author"`
	Document string `json:"document"`
}

// InstanceInfo is one instance in Status.
type InstanceInfo struct {
	Name      string   `json:"name"`
	Zone      string   `json:"zone"`
	Roles     []string `json:"roles"`
	Admin     string   `json:"admin"`
	Reachable bool     `json:"reachable"`
	Version   uint64   `json:"version"`
	Index     uint64   `json:"index"`
}

// MemberInfo is one backend server in Status.
type MemberInfo struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Primary bool   `json:"primary"`
	Voter   bool   `json:"voter"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"`
}

// DatabaseInfo is one database in Status.
type DatabaseInfo struct {
	Name    string       `json:"name"`
	Term    uint64       `json:"term"`
	Primary string       `json:"primary"`
	History string       `json:"history"`
	Members []MemberInfo `json:"members"`
}

// Status is the answer of GET /v1/status.
type Status struct {
	Fleet     Fleet          `json:"fleet"`
	Instances []InstanceInfo `json:"instances"`
	Databases []DatabaseInfo `json:"databases"`
}

// Backend is the instance behind the HTTP interface.
type Backend interface {
	// Ready returns nil if callers may be sent to this instance.
	Ready() error
	// Current returns nil once the instance knows the shared state. Before, it
	// shows none: it could be older than what it showed before a restart.
	Current() error
	Announce(ctx context.Context, a Announcement) error
	Fleet() Fleet
	Change(ctx context.Context, c Change) (ChangeResult, error)
	Status(ctx context.Context) Status
	Stats() *stats.Registry
}

// Handler returns the HTTP interface of b.
func Handler(b Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { ready(w, b) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = b.Stats().WriteText(w)
	})
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) { announce(w, r, b) })
	mux.HandleFunc("GET /v1/fleet", func(w http.ResponseWriter, _ *http.Request) { show(w, b, func() any { return b.Fleet() }) })
	mux.HandleFunc("POST /v1/fleet", func(w http.ResponseWriter, r *http.Request) { change(w, r, b) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		show(w, b, func() any { return b.Status(r.Context()) })
	})
	return mux
}

// failure is the body of an error response.
type failure struct {
	Error string `json:"error"`
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func ready(w http.ResponseWriter, b Backend) {
	if err := b.Ready(); err != nil {
		reply(w, http.StatusServiceUnavailable, failure{Error: err.Error()})
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// show answers with a part of the shared state once it is known.
func show(w http.ResponseWriter, b Backend, body func() any) {
	if err := b.Current(); err != nil {
		reply(w, http.StatusServiceUnavailable, failure{Error: err.Error()})
		return
	}
	reply(w, http.StatusOK, body())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		reply(w, http.StatusBadRequest, failure{Error: err.Error()})
		return false
	}
	return true
}

func announce(w http.ResponseWriter, r *http.Request, b Backend) {
	var a Announcement
	if !decode(w, r, &a) {
		return
	}
	if err := a.check(); err != nil {
		reply(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	if err := b.Announce(r.Context(), a); err != nil {
		reply(w, http.StatusServiceUnavailable, failure{Error: err.Error()})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func change(w http.ResponseWriter, r *http.Request, b Backend) {
	var c Change
	if !decode(w, r, &c) {
		return
	}
	if c.ID == "" || c.Author == "" {
		reply(w, http.StatusBadRequest, failure{Error: "id and author are required"})
		return
	}
	result, err := b.Change(r.Context(), c)
	switch {
	case fleet.AsInvalid(err) != nil:
		reply(w, http.StatusUnprocessableEntity, failure{Error: err.Error()})
	case err != nil:
		reply(w, http.StatusServiceUnavailable, failure{Error: err.Error()})
	case !result.Accepted:
		reply(w, http.StatusConflict, result)
	default:
		reply(w, http.StatusOK, result)
	}
}

// ShutdownLimit bounds the end of the HTTP server after a shutdown.
const ShutdownLimit = time.Second

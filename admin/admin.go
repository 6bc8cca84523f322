// Package admin implements the HTTP interface of an instance: health, readiness
// and metrics for the platform, announcements of backend servers, and the fleet
// configuration and status for operators.
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

const maxBodyBytes = 256 << 10 // limit of a request body

// Announcement is the body of POST /v1/announce, by which a backend server
// registers and renews its registration. Incarnation increases with each start
// of the backend server; Store changes when the backend server loses its data.
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
	minTTLMillis   = 100
	maxTTLMillis   = 3_600_000 // one hour
)

// validate returns an error for the first missing or out-of-range field.
func (a Announcement) validate() error {
	switch {
	case a.Instance == "" || a.Database == "" || a.Zone == "" || a.Address == "" || a.Store == "":
		return errors.New("instance, store, database, zone and address are required")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.New("slots must be from 1 to 10000")
	case a.Connections < 1 || a.Connections > maxConnections:
		return errors.New("connections must be from 1 to 100000")
	case a.TTLMillis < minTTLMillis || a.TTLMillis > maxTTLMillis:
		return errors.New("ttl_ms must be from 100 to 3600000")
	}
	return nil
}

// Change is the body of POST /v1/fleet: a new configuration document that
// replaces version Base. ID makes it safe to send the same change again.
type Change struct {
	ID       string `json:"id"`
	Base     uint64 `json:"base"`
	Author   string `json:"author"`
	Document string `json:"document"`
}

// ChangeResult is the answer of POST /v1/fleet. If another change of the same
// base version was accepted first, the Winner fields describe that change.
type ChangeResult struct {
	ID            string `json:"id"`
	Accepted      bool   `json:"accepted"`
	Version       uint64 `json:"version"`
	WinnerID      string `json:"winner_id,omitempty"`
	WinnerAuthor  string `json:"winner_author,omitempty"`
	WinnerVersion uint64 `json:"winner_version,omitempty"`
	Error         string `json:"error,omitempty"`
}

// Fleet is the answer of GET /v1/fleet: the configuration in force at an
// instance. Term and Index are the position of its state in the control log.
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

// InstanceInfo describes an instance in Status. Version and Index are what the
// instance itself reports; they are zero if it is not reachable.
type InstanceInfo struct {
	Name      string   `json:"name"`
	Zone      string   `json:"zone"`
	Roles     []string `json:"roles"`
	Admin     string   `json:"admin"`
	Reachable bool     `json:"reachable"`
	Version   uint64   `json:"version"`
	Index     uint64   `json:"index"`
}

// MemberInfo describes a backend server in Status.
type MemberInfo struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Primary bool   `json:"primary"`
	Voter   bool   `json:"voter"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"`
}

// DatabaseInfo describes a database and its members in Status.
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

// Instance is the instance that an HTTP interface serves.
type Instance interface {
	// Ready returns nil if the platform may send callers to this instance.
	Ready() error
	// Current returns nil once the instance has caught up with the shared state.
	// Until then no state is served, because it could be older than the state
	// that the instance served before a restart.
	Current() error
	// Announce processes the announcement of a backend server.
	Announce(ctx context.Context, a Announcement) error
	// Fleet returns the configuration in force at this instance.
	Fleet() Fleet
	// Change submits a change of the configuration and waits for its result.
	Change(ctx context.Context, c Change) (ChangeResult, error)
	// Status describes all instances and databases of the fleet.
	Status(ctx context.Context) Status
	// Stats returns the metrics.
	Stats() *stats.Registry
}

// Handler returns the HTTP handler of an instance.
func Handler(i Instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, i) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = i.Stats().WriteText(w)
	})
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) { serveAnnounce(w, r, i) })
	mux.HandleFunc("GET /v1/fleet", func(w http.ResponseWriter, _ *http.Request) { serveState(w, i, func() any { return i.Fleet() }) })
	mux.HandleFunc("POST /v1/fleet", func(w http.ResponseWriter, r *http.Request) { serveChange(w, r, i) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		serveState(w, i, func() any { return i.Status(r.Context()) })
	})
	return mux
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func serveReady(w http.ResponseWriter, i Instance) {
	if err := i.Ready(); err != nil {
		reply(w, http.StatusServiceUnavailable, errorBody{Error: err.Error()})
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serveState answers with body, which reads the shared state, or with status 503
// until the instance has caught up with the shared state.
func serveState(w http.ResponseWriter, i Instance, body func() any) {
	if err := i.Current(); err != nil {
		reply(w, http.StatusServiceUnavailable, errorBody{Error: err.Error()})
		return
	}
	reply(w, http.StatusOK, body())
}

// decode reads the JSON body of a request. If the body is invalid it answers with
// status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		reply(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return false
	}
	return true
}

func serveAnnounce(w http.ResponseWriter, r *http.Request, i Instance) {
	var a Announcement
	if !decode(w, r, &a) {
		return
	}
	if err := a.validate(); err != nil {
		reply(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	if err := i.Announce(r.Context(), a); err != nil {
		reply(w, http.StatusServiceUnavailable, errorBody{Error: err.Error()})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func serveChange(w http.ResponseWriter, r *http.Request, i Instance) {
	var c Change
	if !decode(w, r, &c) {
		return
	}
	if c.ID == "" || c.Author == "" {
		reply(w, http.StatusBadRequest, errorBody{Error: "id and author are required"})
		return
	}
	result, err := i.Change(r.Context(), c)
	switch {
	case fleet.AsInvalid(err) != nil:
		reply(w, http.StatusUnprocessableEntity, errorBody{Error: err.Error()})
	case err != nil:
		reply(w, http.StatusServiceUnavailable, errorBody{Error: err.Error()})
	case !result.Accepted:
		reply(w, http.StatusConflict, result)
	default:
		reply(w, http.StatusOK, result)
	}
}

// ShutdownLimit is the longest time that the HTTP server may take to stop.
const ShutdownLimit = time.Second

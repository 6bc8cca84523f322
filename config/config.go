// Package config is the document by which operators say which databases callers
// may use, where they are served and within which limits.
package config

import (
	"time"

	"github.com/rotisserie/eris"
)

// Freshness is what a database promises about its reads.
type Freshness uint8

// The kinds of freshness.
const (
	// Latest reads see every commit acknowledged before they started.
	Latest Freshness = iota
	// Bounded reads see every commit that is older than MaxAge.
	Bounded
	// Session reads are Bounded and see the commits of their own session.
	Session
)

// Route is one database as callers name it.
type Route struct {
	Database  string
	Prefix    string
	Service   string // the group of backend servers that serves it
	Freshness Freshness
	MaxAge    time.Duration // of Bounded and Session
	Timeout   time.Duration // of one statement
	Goal      time.Duration // the latency objective of an operation
	Priority  int           // 0 is the highest
}

// Service is a group of backend servers, of which one is the primary.
type Service struct {
	Name string
	// MaxConns is how many connections a backend server accepts from all callers.
	MaxConns int
	// SyncReplicas is how many replicas hold a commit when it is acknowledged.
	SyncReplicas int
}

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   map[string]Route // by database
	Services map[string]Service
	// IdleTransaction is how long a transaction may wait for its next statement,
	// or 0 if it is not bounded.
	IdleTransaction time.Duration
}

// Check returns why the document can't be put in force, or nil.
func (d *Document) Check() error {
	for _, r := range d.Routes {
		if _, ok := d.Services[r.Service]; !ok {
			return eris.Errorf("route of database %q names unknown service %q", r.Database, r.Service)
		}
		if r.Timeout <= 0 {
			return eris.Errorf("route of database %q has no timeout", r.Database)
		}
	}
	return nil
}

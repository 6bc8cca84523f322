// Package config defines the configuration document: the databases that callers may
// use, the services that serve them, and the limits that apply.
package config

import "time"

// Freshness is the guarantee of a database for its reads. Values are sent to other
// instances as numbers and must not change.
type Freshness uint8

// The guarantees.
const (
	// Latest reads see all commits that were acknowledged before the read started.
	Latest Freshness = iota
	// Bounded reads see all commits that are older than Route.MaxAge.
	Bounded
	// Session reads are Bounded reads that also see the commits of their own session.
	Session
	// UnknownFreshness is that of a route that is not valid.
	UnknownFreshness Freshness = 255
)

// Route maps the name of a database, as callers use it, to the service that serves it.
type Route struct {
	Database    string
	Prefix      string
	Service     string // name in Document.Services
	Freshness   Freshness
	MaxAge      time.Duration // staleness bound of Bounded and Session reads
	Timeout     time.Duration // of one statement
	LatencyGoal time.Duration // latency objective of an operation
	Priority    int           // 0 is the highest priority
	Public      bool          // callers need no key
}

// Service is a group of backend servers, of which one is the primary.
type Service struct {
	Name string
	// MaxConns is the number of connections that a backend server accepts in total.
	MaxConns int
	// SyncReplicas is the number of replicas that have a commit when it is acknowledged.
	SyncReplicas int
}

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   map[string]Route // by Route.Database
	Services map[string]Service
	// Customers lists the customers by name. It is nil if callers do not identify themselves.
	Customers      map[string]Customer
	customersByKey map[Key]Customer
	// IdleTransactionTimeout is how long an open transaction may wait for its next
	// statement. 0 means no limit.
	IdleTransactionTimeout time.Duration
}

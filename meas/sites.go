// Package meas runs the experiments of the measure command against a site of
// real entries and control instances with emulated backend servers.
package meas

import (
	"time"

	"tamarackcross/emul"
	"tamarackcross/site"
)

// callerZone is where callers are, outside the zones of the site.
const callerZone = "callers"

// Profile is one of the deployments that the measurements imitate.
type Profile struct {
	Name    string
	Plan    site.Plan
	Between time.Duration // one-way latency between zones
	Callers time.Duration // one-way latency to callers
	Connect time.Duration // cost of a new backend connection
}

// Profiles are the deployments of today.
var Profiles = []Profile{
	{
		Name: "exchange",
		Plan: site.Plan{
			Zones:     []string{"bkk-a", "bkk-b", "bkk-c"},
			Databases: []string{"match-core-1", "match-core-2", "match-core-3"},
			Entries:   8, Control: 3, Slots: 5, Connections: 30,
		},
		Between: 500 * time.Microsecond, Callers: 3 * time.Millisecond, Connect: 10 * time.Millisecond,
	},
	{
		Name: "rails",
		Plan: site.Plan{
			Zones:     []string{"recife", "fortaleza", "salvador"},
			Databases: []string{"bookings-core-1", "bookings-core-2", "bookings-core-3"},
			Entries:   8, Control: 3, Slots: 3, Connections: 40,
		},
		Between: time.Millisecond, Callers: 3 * time.Millisecond, Connect: 10 * time.Millisecond,
	},
}

// latencies returns the network options of the profile.
func (p Profile) latencies() []emul.NetworkOption {
	var opts []emul.NetworkOption
	for i, a := range p.Plan.Zones {
		for _, b := range p.Plan.Zones[i+1:] {
			opts = append(opts, emul.WithLatency(a, b, p.Between))
		}
		opts = append(opts, emul.WithLatency(a, callerZone, p.Callers))
	}
	return opts
}

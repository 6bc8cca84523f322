// Package meas implements the experiments of the measure command. They run against a
// site of real entries and control instances with emulated backend servers.
package meas

import (
	"time"

	"tamarackcross/emul"
	"tamarackcross/site"
)

// callerZone is the zone of callers, none of the zones of a site.
const callerZone = "callers"

// Profile describes a deployment that the experiments emulate.
type Profile struct {
	Name         string
	Plan         site.Plan
	BetweenZones time.Duration // one-way latency between zones
	ToCallers    time.Duration // one-way latency to callers
	ConnectTime  time.Duration // time to open a backend connection
}

// Profiles are the deployments that the experiments emulate.
var Profiles = []Profile{
	{
		Name: "exchange",
		Plan: site.Plan{
			Zones:     []string{"bkk-a", "bkk-b", "bkk-c"},
			Databases: []string{"match-core-1", "match-core-2", "match-core-3"},
			Entries:   8, Control: 3, Slots: 5, Connections: 30,
		},
		BetweenZones: 500 * time.Microsecond, ToCallers: 3 * time.Millisecond, ConnectTime: 10 * time.Millisecond,
	},
	{
		Name: "rails",
		Plan: site.Plan{
			Zones:     []string{"recife", "fortaleza", "salvador"},
			Databases: []string{"bookings-core-1", "bookings-core-2", "bookings-core-3"},
			Entries:   8, Control: 3, Slots: 3, Connections: 40,
		},
		BetweenZones: time.Millisecond, ToCallers: 3 * time.Millisecond, ConnectTime: 10 * time.Millisecond,
	},
}

// networkOptions returns the latencies of the profile as network options.
func (p Profile) networkOptions() []emul.NetworkOption {
	var opts []emul.NetworkOption
	for i, a := range p.Plan.Zones {
		for _, b := range p.Plan.Zones[i+1:] {
			opts = append(opts, emul.WithLatency(a, b, p.BetweenZones))
		}
		opts = append(opts, emul.WithLatency(a, callerZone, p.ToCallers))
	}
	return opts
}

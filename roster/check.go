package roster

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of an Entry. An announcement comes from outside and may have been written by anybody.
const (
	maxNameBytes = 256 // of each of its names
	maxSlots     = 100_000
	// maxSeq is far above what a server reaches by counting its announcements.
	maxSeq = 1 << 40
	// maxClaim is far above what servers that contest an address reach.
	maxClaim = 1 << 40
	// maxBornAhead is how far the start of a server may lie ahead of the time of day here, which
	// may differ by seconds. A later start would take precedence over every true one.
	maxBornAhead = time.Hour
	// maxLeavingFor is far above the time that a server which has stopped is listed.
	maxLeavingFor = time.Hour
)

// Check returns an error if the entry cannot be that of a backend server. timeOfDay is the
// present time of day.
func (e Entry) Check(timeOfDay time.Time) error {
	for _, name := range []string{e.Service, e.ID} {
		if name == "" || len(name) > maxNameBytes {
			return eris.Errorf("roster: a name has %d bytes, want 1 to %d", len(name), maxNameBytes)
		}
	}
	switch addr, err := netip.ParseAddrPort(e.Addr); {
	case err != nil:
		return eris.Wrap(err, "roster: address")
	case addr.Port() == 0 || !addr.Addr().Is4() || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		return eris.Errorf("roster: no server can be reached at %s", addr)
	case len(e.Zone) > maxNameBytes:
		return eris.Errorf("roster: name of the zone has %d bytes, want at most %d", len(e.Zone), maxNameBytes)
	case e.Slots < 0 || e.Slots > maxSlots:
		return eris.Errorf("roster: %d slots, want 0 to %d", e.Slots, maxSlots)
	case e.Seq > maxSeq:
		return eris.Errorf("roster: sequence number %d is above %d", e.Seq, uint64(maxSeq))
	case e.Claim > maxClaim:
		return eris.Errorf("roster: claim %d to the address is above %d", e.Claim, uint64(maxClaim))
	case e.Born < 0 || e.Born > timeOfDay.Add(maxBornAhead).UnixMilli():
		return eris.Errorf("roster: start at %d ms is negative or more than %v ahead", e.Born, maxBornAhead)
	case e.LeavingFor < 0 || e.LeavingFor > maxLeavingFor:
		return eris.Errorf("roster: leaving for %v, want 0 to %v", e.LeavingFor, maxLeavingFor)
	case e.State > Gone:
		return eris.Errorf("roster: unknown state %d", uint8(e.State))
	}
	return nil
}

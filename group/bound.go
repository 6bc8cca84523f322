package group

import "time"

// Bound states how fresh the data of a read must be. It is one of
// SessionBound, AgeBound and LatestBound.
type Bound interface{ bound() }

// SessionBound asks for a snapshot that holds everything up to Position.
type SessionBound struct{ Position Position }

// AgeBound asks for a snapshot that holds everything committed Max before the
// read started, and everything up to Position.
type AgeBound struct {
	Max      time.Duration
	Position Position
}

// LatestBound asks for a snapshot that holds every write acknowledged before
// the read started.
type LatestBound struct{}

func (SessionBound) bound() {}
func (AgeBound) bound()     {}
func (LatestBound) bound()  {}

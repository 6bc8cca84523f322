package group

import "time"

// Bound is a read bound: how fresh the data of a read must be. It is one of
// SessionBound, AgeBound and LatestBound.
type Bound interface{ bound() }

// SessionBound requires a snapshot that contains everything up to Position.
type SessionBound struct{ Position Position }

// AgeBound requires a snapshot that contains everything that was committed at least
// MaxAge before the read started, and everything up to Position.
type AgeBound struct {
	MaxAge   time.Duration
	Position Position
}

// LatestBound requires a snapshot that contains every write that was acknowledged
// before the read started.
type LatestBound struct{}

func (SessionBound) bound() {}
func (AgeBound) bound()     {}
func (LatestBound) bound()  {}

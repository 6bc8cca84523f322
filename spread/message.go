package spread

import (
	"github.com/rotisserie/eris"

	"tamarackcross/state"
)

// Message is what instances send to each other. It is one of Push, Summary,
// Pull, Batch, Outline, Fetch and Sections.
type Message interface {
	// Sender returns the name of the instance that sent the message.
	Sender() string
	message()
}

// Head is the part that all messages have in common.
type Head struct{ From string }

// Sender returns the name of the instance that sent the message.
func (h Head) Sender() string { return h.From }

func (Head) message() {}

// Push carries one committed delta. Each instance passes it on once.
type Push struct {
	Head
	Delta state.Delta
}

// Purpose says why a Summary was sent.
type Purpose uint8

// The purposes of a Summary.
const (
	Probe  Purpose = iota // the periodic exchange; answered only with a newer state
	Ask                   // from an instance that starts; always answered
	Answer                // the answer to Probe or Ask
	Miss                  // the state that a Fetch names is no longer held
)

// Summary states which state an instance holds.
type Summary struct {
	Head
	Purpose Purpose
	Stamp   state.Stamp
	Digest  uint64
}

// Pull asks for what follows Have. Groups holds the digests of the groups of
// sections; without them a whole copy is asked for.
type Pull struct {
	Head
	Have   state.Stamp
	Groups []uint64
}

// Batch answers a Pull with consecutive deltas.
type Batch struct {
	Head
	Deltas []state.Delta
}

// SectionDigest names a section and its digest.
type SectionDigest struct {
	Key    state.Key
	Digest uint64
}

// Outline answers a Pull with the digests of all sections of the groups that
// differ.
type Outline struct {
	Head
	Stamp    state.Stamp
	Digest   uint64
	Groups   []int
	Sections []SectionDigest
}

// Fetch asks for sections as they are at Stamp.
type Fetch struct {
	Head
	Stamp state.Stamp
	Keys  []state.Key
}

// Sections is one part of the answer to a Fetch, or of a whole copy.
type Sections struct {
	Head
	Stamp   state.Stamp
	Digest  uint64 // of the complete state at Stamp
	Whole   bool
	Part    int
	Parts   int
	Changes []state.Change
}

// ErrDigest is the error of a Rejected state whose digest is not the one stated.
var ErrDigest = eris.New("the state received does not have the digest stated")

// Action is what the adapter does for the core. It is one of Send, Apply, Ready,
// Diverged and Rejected.
type Action interface{ action() }

// Send sends a message to the named instance. Losing it is safe.
type Send struct {
	Peer    string
	Message Message
}

// Apply reports a newer view and the sections that changed. Whole is set when
// sections that are not listed may have changed too.
type Apply struct {
	View    *state.View
	Changed []state.Key
	Whole   bool
}

// Ready reports that the instance may serve: it holds the newest state among
// the peers that answered.
type Ready struct{ Stamp state.Stamp }

// Diverged reports a peer that holds other content at the same stamp. This
// breaks the rule that the state is a function of the log, and needs an operator.
type Diverged struct {
	Peer         string
	Stamp        state.Stamp
	Mine, Theirs uint64
}

// Rejected reports a state that was received and not installed: a section cannot
// be read by this release, or the content does not have the digest stated. The
// view stays as it was, and another attempt follows.
type Rejected struct {
	Stamp state.Stamp
	Err   error
}

func (Rejected) action() {}
func (Send) action()     {}
func (Apply) action()    {}
func (Ready) action()    {}
func (Diverged) action() {}

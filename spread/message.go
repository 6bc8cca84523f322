package spread

import (
	"github.com/rotisserie/eris"

	"tamarackcross/state"
)

// Message is a message between instances. It is one of Push, Summary, Pull, Batch,
// Outline, Fetch and Sections.
type Message interface {
	// Sender returns the name of the instance that sent the message.
	Sender() string
	message()
}

// Head contains the fields that all messages have.
type Head struct{ From string }

// Sender returns the name of the instance that sent the message.
func (h Head) Sender() string { return h.From }

func (Head) message() {}

// Push carries one committed delta. Each instance forwards it once.
type Push struct {
	Head
	Delta state.Delta
}

// Purpose is the reason why a Summary was sent.
type Purpose uint8

// The purposes of a Summary.
const (
	Probe  Purpose = iota // periodic exchange; answered only by a peer with a newer state
	Ask                   // query of an instance that starts; always answered
	Answer                // answer to Probe or Ask, or the announcement of a delta too long to push
	Miss                  // answer to a Fetch for a state that is no longer available
)

// Summary identifies the state that an instance has.
type Summary struct {
	Head
	Purpose Purpose
	Stamp   state.Stamp
	Digest  uint64
}

// Pull requests the changes after Have. Buckets contains the digest of each hash bucket
// of the sections of the sender. Without them a full copy is requested.
type Pull struct {
	Head
	Have    state.Stamp
	Buckets []uint64
}

// Batch answers a Pull with consecutive deltas.
type Batch struct {
	Head
	Deltas []state.Delta
}

// SectionDigest is the key and the digest of a section.
type SectionDigest struct {
	Key    state.Key
	Digest uint64
}

// Outline answers a Pull with the digests of all sections in the hash buckets whose
// digests differ. Buckets contains the indexes of these buckets.
type Outline struct {
	Head
	Stamp    state.Stamp
	Digest   uint64
	Buckets  []int
	Sections []SectionDigest
}

// Fetch requests sections as of Stamp.
type Fetch struct {
	Head
	Stamp state.Stamp
	Keys  []state.Key
}

// Sections is one part of the answer to a Fetch, or of a full copy if Whole is set.
type Sections struct {
	Head
	Stamp   state.Stamp
	Digest  uint64 // of the full state at Stamp
	Whole   bool
	Part    int
	Parts   int
	Changes []state.Change
}

// ErrDigest is the error of a Rejected state whose digest does not match the one that
// the peer sent with it.
var ErrDigest = eris.New("digest of the received state does not match the digest sent with it")

// Action is an output of a Core, which the caller carries out. It is one of Send,
// Apply, Ready, Diverged and Rejected.
type Action interface{ action() }

// Send requests to send a message to an instance. Messages may be lost.
type Send struct {
	Peer    string
	Message Message
}

// Apply reports a newer view and the sections that changed. If Whole is set, other
// sections may have changed as well.
type Apply struct {
	View    *state.View
	Changed []state.Key
	Whole   bool
}

// Ready reports that the instance may serve: its state is as new as the newest one
// of the peers that answered.
type Ready struct{ Stamp state.Stamp }

// Diverged reports a peer whose state at the same stamp has other content. This
// violates the rule that the state is a function of the log and requires an operator.
type Diverged struct {
	Peer                  string
	Stamp                 state.Stamp
	OwnDigest, PeerDigest uint64
}

// Rejected reports a received state that was not installed: this release cannot
// decode a section, or the digest does not match. The view is unchanged, and another
// attempt follows.
type Rejected struct {
	Stamp state.Stamp
	Err   error
}

func (Rejected) action() {}
func (Send) action()     {}
func (Apply) action()    {}
func (Ready) action()    {}
func (Diverged) action() {}

package entry

import (
	"time"

	"tamarackcross/fleet"
)

// Policies resolves the settings in force for a scope. It is called for each
// statement, so it must be cheap, and must be safe for concurrent use.
type Policies interface {
	Resolve(fleet.Scope) fleet.Settings
}

const (
	// idleTransactionLimit is the default for WithIdleTransactionLimit. An idle
	// transaction holds a backend connection without using it.
	idleTransactionLimit = time.Minute
	// callerStallLimit is the default for WithStallLimit. A caller that reads
	// nothing can hold memory, a slot and a backend connection.
	callerStallLimit = 30 * time.Second
)

package entry

import (
	"time"

	"tamarackcross/fleet"
)

// Policies resolves the settings in force for a scope. It is called for each
// statement and must be cheap and safe for concurrent use.
type Policies interface {
	Resolve(fleet.Scope) fleet.Settings
}

const (
	// idleTransactionLimit ends a transaction that holds a backend connection
	// without using it.
	idleTransactionLimit = time.Minute
	// callerStallLimit ends a session whose caller takes nothing off its
	// connection.
	callerStallLimit = 30 * time.Second
)

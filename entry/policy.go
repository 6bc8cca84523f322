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
	// idleTransactionLimit is the default for WithIdleTransactionLimit. It ends a transaction that holds a backend connection
	// without using it.
	idleTransactionLimit = time.Minute
	// callerStallLimit is the default for WithStallLimit. It ends a session whose caller takes nothing off its
	// connection.
	callerStallLimit = 30 * time.Second
)

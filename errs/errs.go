// Package errs holds the typed errors of the proxy. Every refusal carries its
// outcome, its reason and the SQLSTATE that callers see.
package errs

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Outcome says what happened to a request.
type Outcome string

// The three outcomes. NotRun is used only with proof that nothing ran.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Reason names why a request was refused, retried or failed. Each reason has
// a counter of its own.
type Reason string

// The reasons of refusals and retries.
const (
	ReasonDeadline       Reason = "deadline"         // cannot start before its deadline
	ReasonQueueFull      Reason = "queue_full"       // the bounded wait is used up
	ReasonNoMember       Reason = "no_member"        // no member may serve the statement
	ReasonNoPrimary      Reason = "no_primary"       // no primary is known
	ReasonStalePrimary   Reason = "stale_primary"    // the member reached is not the primary of the known term
	ReasonUnknownDB      Reason = "unknown_database" // no such database has announced itself
	ReasonBoundDiscarded Reason = "bound_discarded"  // the position asked for was discarded by a later term
	ReasonBoundUnknown   Reason = "bound_unknown"    // the position asked for is of a term not known here
	ReasonBadToken       Reason = "bad_token"        // the session token cannot be read
	ReasonBadSetting     Reason = "bad_setting"      // a session setting has an invalid value
	ReasonBackendLost    Reason = "backend_lost"     // the connection to the backend server broke
	ReasonBackendSilent  Reason = "backend_silent"   // the backend server sent nothing for too long
	ReasonConnect        Reason = "connect"          // no connection could be opened
	ReasonInstanceLost   Reason = "instance_lost"    // the instance that the request was passed on to did not answer
	ReasonBelowBound     Reason = "below_bound"      // the answer was older than the bound
	ReasonNoMajority     Reason = "no_majority"      // a commit was not confirmed by a majority in time
	ReasonKeyReuse       Reason = "key_reuse"        // an idempotency key came with another statement
	ReasonUnsupported    Reason = "unsupported"      // the request is not carried by the proxy
	ReasonProtocol       Reason = "protocol"         // a message breaks the protocol
	ReasonTooLarge       Reason = "too_large"        // a message is over the size limit
	ReasonShutdown       Reason = "shutdown"         // the instance is shutting down
	ReasonCircuitOpen    Reason = "circuit_open"     // the breaker of the member is open
	ReasonRetryBudget    Reason = "retry_budget"     // the retry budget is used up
	ReasonCancelled      Reason = "cancelled"        // the caller cancelled or left
	ReasonTooMany        Reason = "too_many"         // the limit of caller connections is reached
	ReasonAuthentication Reason = "authentication"   // the caller could not prove who it is
	ReasonIdle           Reason = "idle_transaction" // a transaction was idle for too long
	ReasonSettings       Reason = "settings"         // the settings of the session could not be applied
)

// SQLSTATE codes that the proxy sends.
const (
	StateTooManyConnections = "53300"
	StateCannotConnectNow   = "57P03"
	StateAdminShutdown      = "57P01"
	StateQueryCanceled      = "57014"
	StateOutcomeUnknown     = "08007"
	StateConnectionFailure  = "08006"
	StateProtocolViolation  = "08P01"
	StateFeatureUnsupported = "0A000"
	StateInvalidParameter   = "22023"
	StateProgramLimit       = "54000"
	StateUndefinedDatabase  = "3D000"
	StateSerialization      = "40001"
	StateInvalidPassword    = "28P01"
	StateIdleTransaction    = "25P03"
)

// Error is a refusal or failure with everything that a caller needs to react.
type Error struct {
	outcome    Outcome
	reason     Reason
	state      string
	text       string
	retryAfter time.Duration
	key        string
}

// Option sets an optional field of an Error.
type Option func(*Error)

// WithRetryAfter tells the caller when to try again.
func WithRetryAfter(d time.Duration) Option { return func(e *Error) { e.retryAfter = d } }

// WithKey names the idempotency key by which the outcome can be asked.
func WithKey(key string) Option { return func(e *Error) { e.key = key } }

// WithState replaces the SQLSTATE that follows from the reason.
func WithState(state string) Option { return func(e *Error) { e.state = state } }

// New returns an error of the given outcome and reason.
func New(outcome Outcome, reason Reason, text string, opts ...Option) *Error {
	e := &Error{outcome: outcome, reason: reason, text: text, state: stateOf(outcome, reason)}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error describes the failure with its reason and outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (reason=%s outcome=%s)", e.text, e.reason, e.outcome)
}

// Outcome returns what happened to the request.
func (e *Error) Outcome() Outcome { return e.outcome }

// Reason returns why the request failed.
func (e *Error) Reason() Reason { return e.reason }

// State returns the SQLSTATE.
func (e *Error) State() string { return e.state }

// Text returns the message without reason and outcome.
func (e *Error) Text() string { return e.text }

// RetryAfter returns when to try again, or 0.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Detail renders the machine-readable fields for the DETAIL of an error
// response, such as "outcome=not_run reason=deadline retry_after_ms=20".
func (e *Error) Detail() string {
	fields := []string{"outcome=" + string(e.outcome), "reason=" + string(e.reason)}
	if e.retryAfter > 0 {
		fields = append(fields, fmt.Sprintf("retry_after_ms=%d", max(1, e.retryAfter.Milliseconds())))
	}
	if e.key != "" {
		fields = append(fields, "key="+e.key)
	}
	return strings.Join(fields, " ")
}

// As returns the typed error in the chain of err, or nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

func stateOf(outcome Outcome, reason Reason) string {
	if outcome == Unknown {
		return StateOutcomeUnknown
	}
	switch reason {
	case ReasonDeadline, ReasonQueueFull, ReasonTooMany:
		return StateTooManyConnections
	case ReasonBadToken, ReasonBadSetting, ReasonKeyReuse:
		return StateInvalidParameter
	case ReasonUnsupported:
		return StateFeatureUnsupported
	case ReasonProtocol:
		return StateProtocolViolation
	case ReasonAuthentication:
		return StateInvalidPassword
	case ReasonIdle:
		return StateIdleTransaction
	case ReasonTooLarge:
		return StateProgramLimit
	case ReasonShutdown:
		return StateAdminShutdown
	case ReasonUnknownDB:
		return StateUndefinedDatabase
	case ReasonCancelled:
		return StateQueryCanceled
	case ReasonBoundDiscarded:
		return StateSerialization
	case ReasonBackendLost, ReasonBackendSilent:
		return StateConnectionFailure
	default:
		return StateCannotConnectNow
	}
}

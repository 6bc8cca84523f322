// Package errs defines the error type for requests that the proxy refuses or that
// fail. An error has an outcome, a reason and the SQLSTATE that callers see.
package errs

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Outcome says whether a request took effect.
type Outcome string

// The outcomes of a request. A write is NotRun only if it is proved that nothing of
// it was or will be committed.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Reason is the cause of a refusal, a retry or a failure. There is a counter for each
// reason.
type Reason string

// The reasons for refusals, retries and failures.
const (
	ReasonDeadline        Reason = "deadline"         // the request could not start or finish before its deadline
	ReasonQueueFull       Reason = "queue_full"       // the admission queue is full or the longest queue wait has passed
	ReasonNoMember        Reason = "no_member"        // no member can serve the statement
	ReasonNoPrimary       Reason = "no_primary"       // no primary is known, or a majority did not confirm it
	ReasonStalePrimary    Reason = "stale_primary"    // the member is not the primary of the current term
	ReasonUnknownDB       Reason = "unknown_database" // no member has announced the database
	ReasonBoundDiscarded  Reason = "bound_discarded"  // the required position, or that of a commit, was discarded by a later term
	ReasonBoundUnknown    Reason = "bound_unknown"    // the required position is of a term that this instance does not know yet
	ReasonBadToken        Reason = "bad_token"        // the session token cannot be read
	ReasonBadSetting      Reason = "bad_setting"      // a session setting has an invalid value
	ReasonBackendLost     Reason = "backend_lost"     // the connection to the backend server was lost
	ReasonBackendSilent   Reason = "backend_silent"   // the backend server sent nothing for too long
	ReasonConnect         Reason = "connect"          // no connection to the backend server could be opened
	ReasonInstanceLost    Reason = "instance_lost"    // the instance to which the request was forwarded did not answer
	ReasonBelowBound      Reason = "below_bound"      // the data of the answer was older than the read bound
	ReasonNoMajority      Reason = "no_majority"      // a majority did not confirm the position of the answer in time
	ReasonKeyReuse        Reason = "key_reuse"        // an idempotency key was used with another statement or is closed as not run
	ReasonUnsupported     Reason = "unsupported"      // the proxy does not support the request
	ReasonProtocol        Reason = "protocol"         // a message violates the protocol
	ReasonTooLarge        Reason = "too_large"        // a message is over the size limit
	ReasonShutdown        Reason = "shutdown"         // the instance is shutting down
	ReasonCircuitOpen     Reason = "circuit_open"     // the circuit breaker of the member is open
	ReasonRetryBudget     Reason = "retry_budget"     // the retry budget or the attempts of an idempotency key are used up
	ReasonCancelled       Reason = "cancelled"        // the caller cancelled the request or disconnected
	ReasonTooManyCallers  Reason = "too_many"         // the limit of caller connections is reached
	ReasonAuthentication  Reason = "authentication"   // the caller failed to authenticate
	ReasonIdleTransaction Reason = "idle_transaction" // a transaction was idle for too long
	ReasonSettings        Reason = "settings"         // the settings of the session could not be applied
	ReasonCap             Reason = "cap"              // the customer sends more operations than it may
)

// SQLSTATE codes that the proxy sends.
const (
	SQLStateTooManyConnections = "53300"
	SQLStateCannotConnectNow   = "57P03"
	SQLStateAdminShutdown      = "57P01"
	SQLStateQueryCanceled      = "57014"
	SQLStateOutcomeUnknown     = "08007"
	SQLStateConnectionFailure  = "08006"
	SQLStateProtocolViolation  = "08P01"
	SQLStateFeatureUnsupported = "0A000"
	SQLStateInvalidParameter   = "22023"
	SQLStateProgramLimit       = "54000"
	SQLStateUndefinedDatabase  = "3D000"
	SQLStateSerialization      = "40001"
	SQLStateInvalidPassword    = "28P01"
	SQLStateIdleTransaction    = "25P03"
)

// Error is the refusal or failure of a request, with all that a caller needs to decide
// what to do next.
type Error struct {
	outcome    Outcome
	reason     Reason
	sqlState   string
	text       string
	retryAfter time.Duration
	key        string
}

// Option sets an optional field of an Error.
type Option func(*Error)

// WithRetryAfter sets the time after which a retry makes sense.
func WithRetryAfter(d time.Duration) Option { return func(e *Error) { e.retryAfter = d } }

// WithKey sets the idempotency key by which the caller can ask for the outcome.
func WithKey(key string) Option { return func(e *Error) { e.key = key } }

// WithSQLState overrides the SQLSTATE that follows from outcome and reason.
func WithSQLState(state string) Option { return func(e *Error) { e.sqlState = state } }

// New returns an error with an outcome, a reason and a message text.
func New(outcome Outcome, reason Reason, text string, opts ...Option) *Error {
	e := &Error{outcome: outcome, reason: reason, text: text, sqlState: sqlStateOf(outcome, reason)}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error returns the message text with the reason and the outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (reason=%s outcome=%s)", e.text, e.reason, e.outcome)
}

// Outcome returns what happened to the request.
func (e *Error) Outcome() Outcome { return e.outcome }

// Reason returns why the request failed.
func (e *Error) Reason() Reason { return e.reason }

// SQLState returns the SQLSTATE for the caller.
func (e *Error) SQLState() string { return e.sqlState }

// Text returns the message text without reason and outcome.
func (e *Error) Text() string { return e.text }

// RetryAfter returns the time after which a retry makes sense, or 0.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Detail returns the machine-readable fields for the DETAIL of an error response,
// such as "outcome=not_run reason=deadline retry_after_ms=20".
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

// As returns the first Error in the chain of err, or nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

func sqlStateOf(outcome Outcome, reason Reason) string {
	if outcome == Unknown {
		return SQLStateOutcomeUnknown
	}
	switch reason {
	case ReasonDeadline, ReasonQueueFull, ReasonTooManyCallers, ReasonCap:
		return SQLStateTooManyConnections
	case ReasonBadToken, ReasonBadSetting, ReasonKeyReuse:
		return SQLStateInvalidParameter
	case ReasonUnsupported:
		return SQLStateFeatureUnsupported
	case ReasonProtocol:
		return SQLStateProtocolViolation
	case ReasonAuthentication:
		return SQLStateInvalidPassword
	case ReasonIdleTransaction:
		return SQLStateIdleTransaction
	case ReasonTooLarge:
		return SQLStateProgramLimit
	case ReasonShutdown:
		return SQLStateAdminShutdown
	case ReasonUnknownDB:
		return SQLStateUndefinedDatabase
	case ReasonCancelled:
		return SQLStateQueryCanceled
	case ReasonBoundDiscarded:
		return SQLStateSerialization
	case ReasonBackendLost, ReasonBackendSilent:
		return SQLStateConnectionFailure
	default:
		return SQLStateCannotConnectNow
	}
}

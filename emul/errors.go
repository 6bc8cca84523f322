package emul

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error is a failure with the SQLSTATE that is sent to the caller.
type Error struct {
	sqlState string
	message  string
}

// Error returns the message of the failure.
func (e *Error) Error() string { return e.message }

// SQLState returns the SQLSTATE.
func (e *Error) SQLState() string { return e.sqlState }

// SQLSTATE codes of the emulated member.
const (
	sqlStateUnsupported        = "0A000"
	sqlStateInvalidParameter   = "22023"
	sqlStateUniqueViolation    = "23505"
	sqlStateActiveTxn          = "25001"
	sqlStateReadOnly           = "25006"
	sqlStateFailedTxn          = "25P02"
	sqlStateNoDatabase         = "3D000"
	sqlStateNoStatement        = "26000"
	sqlStateNoPortal           = "34000"
	sqlStatePermission         = "42501"
	sqlStateDuplicateStatement = "42P05"
	sqlStateSyntax             = "42601"
	sqlStateNoFunction         = "42883"
	sqlStateTooManyConns       = "53300"
	sqlStatePrerequisite       = "55000"
	sqlStateLockTimeout        = "55P03"
	sqlStateCancelled          = "57014"
	sqlStateShutdown           = "57P01"
	sqlStateProtocol           = "08P01"
	sqlStateInternalError      = "XX000"
)

// Errors of statements and group functions.
var (
	errNotPrimary       = &Error{sqlStateReadOnly, "cannot write: member is not the primary of the group"}
	errFenced           = &Error{sqlStateReadOnly, "cannot write: member is fenced by a higher term"}
	errTermTooLow       = &Error{sqlStatePrerequisite, "term is lower than the term of the member"}
	errHistoryTerm      = &Error{sqlStatePrerequisite, "history does not end with the term"}
	errLogTooShort      = &Error{sqlStatePrerequisite, "log of the member ends before the start of the term"}
	errNotPrimaryOfTerm = &Error{sqlStatePrerequisite, "member is not the primary of this term"}
	errDiverged         = &Error{sqlStatePrerequisite, "log of the replica is not a prefix of the log of the primary"}
	errSyntax           = &Error{sqlStateSyntax, "syntax error"}
	errDuplicateKey     = &Error{sqlStateUniqueViolation, "duplicate key value violates unique constraint"}
	errFailedTxn        = &Error{sqlStateFailedTxn, "current transaction is aborted, commands ignored until end of transaction block"}
	errLockTimeout      = &Error{sqlStateLockTimeout, "canceling statement due to lock timeout"}
	errCancelled        = &Error{sqlStateCancelled, "canceling statement due to user request"}
	errShutdown         = &Error{sqlStateShutdown, "terminating connection due to administrator command"}
	errTooManyConns     = &Error{sqlStateTooManyConns, "sorry, too many clients already"}
	errPermission       = &Error{sqlStatePermission, "permission denied for group function"}
	errCopyUnsupported  = &Error{sqlStateUnsupported, "COPY is not supported"}
	errNotNumber        = &Error{sqlStateInvalidParameter, "value is not a number"}
)

// sqlStateOf returns the SQLSTATE of err.
func sqlStateOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.sqlState
	}
	return sqlStateInternalError
}

// messageOf returns the message of err and of the errors that it wraps, without a
// stack trace.
func messageOf(err error) string {
	return eris.ToString(err, false)
}

package emul

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error is a failure with the SQLSTATE that the caller sees.
type Error struct {
	state string
	text  string
}

// Error describes the failure.
func (e *Error) Error() string { return e.text }

// State returns the SQLSTATE.
func (e *Error) State() string { return e.state }

// SQLSTATE codes of the emulated member.
const (
	stateUnsupported   = "0A000"
	stateBadParameter  = "22023"
	stateUnique        = "23505"
	stateActiveTxn     = "25001"
	stateReadOnly      = "25006"
	stateFailedTxn     = "25P02"
	stateNoDatabase    = "3D000"
	stateNoStatement   = "26000"
	stateNoPortal      = "34000"
	statePermission    = "42501"
	stateDuplicate     = "42P05"
	stateSyntax        = "42601"
	stateNoFunction    = "42883"
	stateTooMany       = "53300"
	statePrerequisite  = "55000"
	stateLockTimeout   = "55P03"
	stateCancelled     = "57014"
	stateShutdown      = "57P01"
	stateProtocol      = "08P01"
	stateInternalError = "XX000"
)

// Errors that statements and group functions report.
var (
	errNotPrimary  = &Error{stateReadOnly, "cannot write: member is not the primary of the group"}
	errFenced      = &Error{stateReadOnly, "cannot write: member is fenced by a higher term"}
	errTerm        = &Error{statePrerequisite, "term is lower than the term of the member"}
	errHistory     = &Error{statePrerequisite, "history does not end with the term"}
	errMissing     = &Error{statePrerequisite, "log of the member ends before the start of the term"}
	errRole        = &Error{statePrerequisite, "member is not the primary of this term"}
	errDiverged    = &Error{statePrerequisite, "log of the replica is not a prefix of the log of the primary"}
	errSyntax      = &Error{stateSyntax, "syntax error"}
	errUnique      = &Error{stateUnique, "duplicate key value violates unique constraint"}
	errFailedTxn   = &Error{stateFailedTxn, "current transaction is aborted, commands ignored until end of transaction block"}
	errLockTimeout = &Error{stateLockTimeout, "canceling statement due to lock timeout"}
	errCancelled   = &Error{stateCancelled, "canceling statement due to user request"}
	errShutdown    = &Error{stateShutdown, "terminating connection due to administrator command"}
	errTooMany     = &Error{stateTooMany, "sorry, too many clients already"}
	errPermission  = &Error{statePermission, "permission denied for group function"}
	errCopy        = &Error{stateUnsupported, "COPY is not supported"}
	errNotNumber   = &Error{stateBadParameter, "value is not a number"}
)

// stateOf returns the SQLSTATE of err.
func stateOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.state
	}
	return stateInternalError
}

// textOf returns the message of err without a stack trace.
func textOf(err error) string {
	return eris.ToString(err, false)
}

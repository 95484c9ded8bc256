package cli

import (
	"context"
	"errors"
	"fmt"
	"net"

	"connectrpc.com/connect"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
)

// Exit codes. Scripts depend on them.
const (
	ExitOK             = 0
	ExitUnexpected     = 1
	ExitUsage          = 2
	ExitInvalid        = 3
	ExitConflict       = 4
	ExitUnavailable    = 5
	ExitOutcomeUnknown = 6
)

const exitCodesHelp = `Exit codes:
  0  ok
  1  unexpected error, or the named service, backend server, request or revision does not exist
  2  invalid arguments or settings
  3  invalid document
  4  conflict: the service is not at the base revision; nothing was written
  5  unavailable: the key-value service, or every entry or gateway, cannot be reached; nothing was changed
  6  outcome unknown: the change was sent and may have taken effect`

// usageError is an error in the command line or the settings.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// outcomeUnknownError means that a request other than a document write may have taken effect.
type outcomeUnknownError struct{ err error }

func (e *outcomeUnknownError) Error() string { return "outcome unknown: " + e.err.Error() }
func (e *outcomeUnknownError) Unwrap() error { return e.err }

// invalidConfigError holds the faults of a gateway's configuration.
type invalidConfigError struct{ err error }

func (e *invalidConfigError) Error() string { return e.err.Error() }
func (e *invalidConfigError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var (
		invalidConfig  *invalidConfigError
		usage          *usageError
		conflict       *registry.ConflictError
		unknownWrite   *registry.OutcomeUnknownError
		unknownOutcome *outcomeUnknownError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalidConfig):
		return ExitInvalid
	case errors.As(err, &usage):
		return ExitUsage
	case document.AsErrors(err) != nil:
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknownWrite), errors.As(err, &unknownOutcome), errors.Is(err, external.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.Is(err, external.ErrUnavailable), noResponse(err):
		return ExitUnavailable
	}
	return ExitUnexpected
}

// noResponse reports whether err means that no response came: the connection failed, the time limit passed or
// the call was cancelled.
func noResponse(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return true
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return false
	}
	switch ce.Code() {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return true
	}
	return false
}

// dialFailed reports whether a call failed before a connection to the peer existed, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errorMessage returns the text for the operator, with advice on what to do next.
func errorMessage(err error) string {
	text := "quetzallug: " + err.Error()
	switch exitCode(err) {
	case ExitInvalid:
		return err.Error()
	case ExitUsage:
		return text + "\nSee quetzallug --help."
	case ExitConflict:
		return text + "\nFetch the document again with 'quetzallug get', redo the edit and apply it."
	case ExitUnavailable:
		return text + "\nNothing was changed. Try again later."
	case ExitOutcomeUnknown:
		return text + "\nThe change may have taken effect. Check with 'quetzallug get' or 'quetzallug status' before repeating it."
	}
	return text
}

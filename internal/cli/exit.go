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

// Exit codes. They are part of the tool's interface.
const (
	ExitOK          = 0
	ExitUnexpected  = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
)

const exitCodesHelp = `Exit codes:
  0  ok
  1  unexpected error, or the named thing does not exist
  2  wrong usage or settings
  3  invalid document
  4  conflict: the service is not at the base revision; nothing was written
  5  unavailable: the key-value service or all entries cannot be reached; nothing was changed
  6  outcome unknown: the change was sent and may have taken effect`

// usageError is a fault of the command line or the settings.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// unknownError means that a request other than a document write may have taken effect.
type unknownError struct{ err error }

func (e *unknownError) Error() string { return "outcome unknown: " + e.err.Error() }
func (e *unknownError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var (
		usage    *usageError
		conflict *registry.ConflictError
		unknown  *registry.OutcomeUnknownError
		sent     *unknownError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case document.Faults(err) != nil:
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown), errors.As(err, &sent), errors.Is(err, external.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, external.ErrUnavailable), unreachable(err):
		return ExitUnavailable
	}
	return ExitUnexpected
}

func unreachable(err error) bool {
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

// notSent says whether a call failed before it reached the peer.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// message adds what to do next.
func message(err error) string {
	text := "quetzallug: " + err.Error()
	switch exitCode(err) {
	case ExitInvalid:
		return err.Error()
	case ExitUsage:
		return text + "\nSee quetzallug --help."
	case ExitConflict:
		return text + "\nFetch the service again with 'quetzallug get', repeat the edit and apply it."
	case ExitUnavailable:
		return text + "\nNothing was changed. Try again."
	case ExitUnknown:
		return text + "\nThe change may have taken effect. Check with 'quetzallug get' or 'quetzallug status' before you repeat it."
	}
	return text
}

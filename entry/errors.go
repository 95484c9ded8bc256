package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// Outcome tells the caller of a failed request whether the request ran.
type Outcome string

// Outcomes of failed requests.
const (
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run, in part or completely.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the error code in the response body.
type Reason string

// Reasons of failed requests.
const (
	ReasonInvalid             Reason = "invalid_request"
	ReasonRequestTooLarge     Reason = "request_too_large"
	ReasonUnknownService      Reason = "unknown_service"
	ReasonUnknownModel        Reason = "unknown_model"
	ReasonUnknownKind         Reason = "unknown_kind"
	ReasonCallerLimit         Reason = "caller_limit"
	ReasonOverload            Reason = "overload"
	ReasonDeadline            Reason = "deadline"
	ReasonNoWorker            Reason = "no_worker"
	ReasonBackendFailed       Reason = "backend_failed"
	ReasonRetryBudget         Reason = "retry_budget"
	ReasonKeyInUse            Reason = "key_in_use"
	ReasonKeyMismatch         Reason = "key_mismatch"
	ReasonKeyExpired          Reason = "key_expired"
	ReasonKeyStoreUnavailable Reason = "key_store_unavailable"
	ReasonShuttingDown        Reason = "shutting_down"
)

// defaultRetryAfter is the Retry-After time of refusals that have no time of their own.
const defaultRetryAfter = time.Second

// Error describes a request that failed or was refused.
type Error struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	Status     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Detail)
}

// notRunError returns an error for a request that certainly did not run and may be retried.
func notRunError(r Reason, format string, args ...any) *Error {
	return &Error{
		Outcome: OutcomeNotRun, Reason: r, Detail: fmt.Sprintf(format, args...),
		Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter,
	}
}

// invalidError returns an error for an invalid request, which must not be retried unchanged.
func invalidError(status int, r Reason, format string, args ...any) *Error {
	return &Error{Outcome: OutcomeNotRun, Reason: r, Detail: fmt.Sprintf(format, args...), Status: status}
}

// unknownError returns an error for a request that may have run.
func unknownError(r Reason, format string, args ...any) *Error {
	status := http.StatusBadGateway
	if r == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return &Error{Outcome: OutcomeUnknown, Reason: r, Detail: fmt.Sprintf(format, args...), Status: status}
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type      Outcome `json:"type"`
	Code      Reason  `json:"code"`
	Message   string  `json:"message"`
	RequestID string  `json:"request_id"`
}

func (e *Error) body(requestID string) errorBody {
	return errorBody{Error: errorDetail{Type: e.Outcome, Code: e.Reason, Message: e.Detail, RequestID: requestID}}
}

// writeError sends an error response. It must be called before any part of the response is sent.
func writeError(c *gin.Context, requestID string, e *Error) {
	if e.RetryAfter > 0 && e.Outcome == OutcomeNotRun {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	c.JSON(e.Status, e.body(requestID))
}

// callerReasons maps the reasons that sidecars report to those that callers receive.
var callerReasons = map[v1.Reason]Reason{
	v1.Reason_REASON_DRAINING:          ReasonNoWorker,
	v1.Reason_REASON_QUEUE_FULL:        ReasonOverload,
	v1.Reason_REASON_DEADLINE:          ReasonDeadline,
	v1.Reason_REASON_WRONG_INCARNATION: ReasonNoWorker,
	v1.Reason_REASON_WRONG_SERVICE:     ReasonNoWorker,
	v1.Reason_REASON_MODEL_NOT_LOADED:  ReasonUnknownModel,
}

// callerReason returns the reason for callers, ReasonBackendFailed if there is no specific one.
func callerReason(r v1.Reason) Reason {
	if reason, ok := callerReasons[r]; ok {
		return reason
	}
	return ReasonBackendFailed
}

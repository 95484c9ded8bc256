package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes of a request that was not answered whole.
const (
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run, in part or whole.
	OutcomeUnknown Outcome = "unknown"
)

// Reason names the cause of an error to the caller.
type Reason string

// Reasons of errors.
const (
	ReasonInvalid      Reason = "invalid_request"
	ReasonTooLarge     Reason = "request_too_large"
	ReasonNoService    Reason = "unknown_service"
	ReasonNoModel      Reason = "unknown_model"
	ReasonNoKind       Reason = "unknown_kind"
	ReasonLimit        Reason = "caller_limit"
	ReasonOverload     Reason = "overload"
	ReasonDeadline     Reason = "deadline"
	ReasonNoWorker     Reason = "no_worker"
	ReasonBackend      Reason = "backend_failed"
	ReasonRetryBudget  Reason = "retry_budget"
	ReasonKeyHeld      Reason = "key_in_use"
	ReasonKeyMismatch  Reason = "key_mismatch"
	ReasonKeyExpired   Reason = "key_expired"
	ReasonKeyStore     Reason = "key_store_unavailable"
	ReasonShuttingDown Reason = "shutting_down"
)

const defaultRetryAfter = time.Second

// Error is a request's end other than a whole answer.
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

// notRun returns an error for a request that certainly did not run and may be sent again.
func notRunError(r Reason, format string, args ...any) *Error {
	return &Error{
		Outcome: OutcomeNotRun, Reason: r, Detail: fmt.Sprintf(format, args...),
		Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter,
	}
}

// invalid returns an error for a request that is wrong and must not be sent again unchanged.
func invalidError(status int, r Reason, format string, args ...any) *Error {
	return &Error{Outcome: OutcomeNotRun, Reason: r, Detail: fmt.Sprintf(format, args...), Status: status}
}

// unknown returns an error for a request that may have run.
func unknownError(r Reason, format string, args ...any) *Error {
	status := http.StatusBadGateway
	if r == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return &Error{Outcome: OutcomeUnknown, Reason: r, Detail: fmt.Sprintf(format, args...), Status: status}
}

// errorBody is the JSON shape of an error.
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

// writeError answers with a typed error before any part of an answer has been sent.
func writeError(c *gin.Context, requestID string, e *Error) {
	if e.RetryAfter > 0 && e.Outcome == OutcomeNotRun {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	c.JSON(e.Status, e.body(requestID))
}

var callerReasons = map[v1.Reason]Reason{
	v1.Reason_REASON_DRAINING:          ReasonNoWorker,
	v1.Reason_REASON_QUEUE_FULL:        ReasonOverload,
	v1.Reason_REASON_DEADLINE:          ReasonDeadline,
	v1.Reason_REASON_WRONG_INCARNATION: ReasonNoWorker,
	v1.Reason_REASON_WRONG_SERVICE:     ReasonNoWorker,
	v1.Reason_REASON_MODEL_NOT_LOADED:  ReasonNoModel,
}

func callerReason(r v1.Reason) Reason {
	if reason, ok := callerReasons[r]; ok {
		return reason
	}
	return ReasonBackend
}

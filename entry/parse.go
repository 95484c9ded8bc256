package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/external/enginewire"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// Headers of requests and responses.
const (
	headerKind           = "X-Quetzallug-Kind"
	headerService        = "X-Quetzallug-Service"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
)

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 20
	// maxIdempotencyKeyBytes is the longest accepted idempotency key.
	maxIdempotencyKeyBytes = 255
)

// completionRequest is the body of POST /v1/completions and /v1/chat/completions. Other fields are
// ignored, because existing clients send many that are not supported.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Seed      uint64        `json:"seed"`
	User      string        `json:"user"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// bodyTimeout is the time within which a caller must send the request body.
const bodyTimeout = 15 * time.Second

// readBody reads the request body. A body of more than limit bytes is an error.
func readBody(c *gin.Context, limit int64) ([]byte, *Error) {
	// The error is ignored: the response writers of the HTTP server support deadlines, but others, such
	// as httptest.ResponseRecorder, may not.
	rc := http.NewResponseController(c.Writer)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, invalidError(http.StatusRequestEntityTooLarge, ReasonRequestTooLarge, "body is larger than %d bytes", limit)
	case err != nil:
		return nil, invalidError(http.StatusBadRequest, ReasonInvalid, "read body: %v", err)
	}
	return body, nil
}

// parseCompletion decodes and validates a completion request.
func parseCompletion(body []byte, chat bool) (*completionRequest, *Error) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, invalidError(http.StatusBadRequest, ReasonInvalid, "body is not valid JSON of the completions shape: %v", err)
	}
	if chat {
		r.Prompt = joinMessages(r.Messages)
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultMaxTokens
	}
	switch {
	case r.Model == "":
		return nil, invalidError(http.StatusBadRequest, ReasonInvalid, "field model is required")
	case r.Prompt == "" && chat:
		return nil, invalidError(http.StatusBadRequest, ReasonInvalid, "field messages is required and must have content")
	case r.Prompt == "":
		return nil, invalidError(http.StatusBadRequest, ReasonInvalid, "field prompt is required")
	case r.MaxTokens < 0 || r.MaxTokens > maxTokensLimit:
		return nil, invalidError(http.StatusBadRequest, ReasonInvalid, "field max_tokens: found %d, allowed are 1 to %d", r.MaxTokens, maxTokensLimit)
	}
	return &r, nil
}

// joinMessages builds the prompt of a chat request: one "role: content" line for each message.
func joinMessages(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		if m.Content == "" {
			continue
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// modelCall finds the service and the kind of a completion request and builds its call.
func (e *Entry) modelCall(c *gin.Context, r *completionRequest) (*call, *Error) {
	base, adapter, _ := strings.Cut(r.Model, ":")
	s := e.modelService(c.GetHeader(headerService), base, adapter)
	if s == nil {
		return nil, invalidError(http.StatusNotFound, ReasonUnknownModel, "no service has model %q", r.Model)
	}
	kind := s.FindKind(document.Match{Kind: c.GetHeader(headerKind), Model: base, Method: http.MethodPost})
	if kind == nil {
		return nil, invalidError(http.StatusBadRequest, ReasonUnknownKind, "no kind of service %s matches the request", s.Service)
	}
	m := &v1.ModelRequest{
		Model: base, Adapter: adapter, Prompt: r.Prompt, PromptTokens: uint32(estimateTokens(r.Prompt)),
		MaxTokens: uint32(r.MaxTokens), Seed: r.Seed,
	}
	return e.newCall(c, s, kind, r.User, func(call *call) {
		call.model = m
		call.prefix = enginewire.AppendPrefixHashes(nil, base, adapter, r.Prompt, maxPrefixBlocks)
	})
}

// modelService returns the first model service with the given model and adapter, or nil. An empty
// service name matches all services.
func (e *Entry) modelService(service, model, adapter string) *document.Service {
	for _, s := range e.docs.Services() {
		if s.Type == document.TypeModel && (service == "" || s.Service == service) && hasModel(s, model, adapter) {
			return s
		}
	}
	return nil
}

func hasModel(s *document.Service, model, adapter string) bool {
	for _, m := range s.Models {
		if m.Name != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range m.Adapters {
			if a.Name == adapter {
				return true
			}
		}
	}
	return false
}

// plainCall finds the service and the kind of a plain request and builds its call.
func (e *Entry) plainCall(c *gin.Context, service, path string, body []byte) (*call, *Error) {
	s, _ := e.docs.Lookup(service)
	if s == nil || s.Type != document.TypePlain {
		return nil, invalidError(http.StatusNotFound, ReasonUnknownService, "no plain service %q", service)
	}
	kind := s.FindKind(document.Match{Kind: c.GetHeader(headerKind), Method: c.Request.Method, PathPrefix: path})
	if kind == nil {
		return nil, invalidError(http.StatusBadRequest, ReasonUnknownKind, "no kind of service %s matches %s %s", service, c.Request.Method, path)
	}
	if q := c.Request.URL.RawQuery; q != "" {
		path += "?" + q
	}
	return e.newCall(c, s, kind, "", func(call *call) {
		call.plain = &v1.PlainRequest{Method: c.Request.Method, Path: path, ContentType: c.ContentType(), Body: body}
	})
}

// credentialsPrefix is the prefix of the IDs of callers that are identified by their credentials.
const credentialsPrefix = "key:"

// callerID identifies the caller for the limits per caller: by its credentials, or else its user
// name, or else its address.
func callerID(c *gin.Context, user string) string {
	if auth := c.GetHeader("Authorization"); auth != "" {
		return credentialsPrefix + digest(auth)
	}
	if user != "" {
		return "user:" + user
	}
	return "addr:" + c.RemoteIP()
}

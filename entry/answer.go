package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// errNoFlush means that the response writer does not support flushing, which streaming requires.
var errNoFlush = errors.New("response writer does not support flushing")

// bufferSink collects an answer in memory.
type bufferSink struct{ buf bytes.Buffer }

func (s *bufferSink) write(data []byte) error {
	s.buf.Write(data)
	return nil
}

// eventSink streams an answer as server-sent events in the format of the completions API.
type eventSink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	// head and tail are the JSON before and after the text of each event.
	head, tail []byte
	buf        []byte
	started    bool
}

func newEventSink(c *gin.Context, call *call, chat bool, timeout time.Duration) *eventSink {
	head, tail := eventAffixes(call, chat)
	return &eventSink{w: c.Writer, rc: http.NewResponseController(c.Writer), timeout: timeout, head: head, tail: tail}
}

// eventAffixes returns the parts of an event before and after its text, which are the same for all
// events of a call.
func eventAffixes(call *call, chat bool) (head, tail []byte) {
	object, open, end := "text_completion", `"text":`, `,"finish_reason":`
	if chat {
		object, open, end = "chat.completion.chunk", `"delta":{"content":`, `},"finish_reason":`
	}
	model, _ := json.Marshal(modelName(call.model))
	head = append(head, `data: {"id":"`+call.id+`","object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, call.started.Unix(), 10)
	head = append(head, `,"model":`...)
	head = append(head, model...)
	head = append(head, `,"choices":[{"index":0,`+open...)
	return head, []byte(end)
}

// modelName returns the name of a model as callers write it: "model" or "model:adapter".
func modelName(m *v1.ModelRequest) string {
	if m.GetAdapter() == "" {
		return m.GetModel()
	}
	return m.GetModel() + ":" + m.GetAdapter()
}

// writeHeader sends the response header before the first event.
func (s *eventSink) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) write(data []byte) error { return s.event(data, "null") }

// event sends one event. finish is the finish reason as a JSON value.
func (s *eventSink) event(data []byte, finish string) error {
	s.buf = append(s.buf[:0], s.head...)
	s.buf = appendJSONString(s.buf, data)
	s.buf = append(s.buf, s.tail...)
	s.buf = append(s.buf, finish...)
	s.buf = append(s.buf, "}]}\n\n"...)
	return s.send(s.buf)
}

// appendJSONString appends text to b as a JSON string. Text that needs no escaping is copied, which
// avoids the allocations of encoding/json.
func appendJSONString(b, text []byte) []byte {
	if !isJSONSafe(text) {
		quoted, _ := json.Marshal(string(text)) // marshalling a string cannot fail
		return append(b, quoted...)
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

// isJSONSafe reports whether encoding/json would encode the text without escapes.
func isJSONSafe(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// end sends the finish reason and the [DONE] event. A caller must treat an answer without [DONE] as
// incomplete.
func (s *eventSink) end(f *v1.Final) error {
	if err := s.event(nil, strconv.Quote(f.GetFinishReason())); err != nil {
		return err
	}
	return s.send([]byte("data: [DONE]\n\n"))
}

// fail sends an error event, which ends a stream that has already started.
func (s *eventSink) fail(requestID string, e *Error) error {
	body, err := json.Marshal(e.body(requestID))
	if err != nil {
		return err
	}
	return s.send(append(append([]byte("event: error\ndata: "), body...), "\n\n"...))
}

// send writes and flushes b. The write timeout bounds how long a slow reader can block it.
func (s *eventSink) send(b []byte) error {
	s.writeHeader()
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	if err := s.rc.Flush(); err != nil {
		if errors.Is(err, http.ErrNotSupported) {
			return errNoFlush
		}
		return err
	}
	return nil
}

// completion is the response body of a request without streaming, in the format of the completions
// API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// newCompletion builds the response body from the text and the final frame of an answer.
func newCompletion(call *call, chat bool, text string, f *v1.Final) completion {
	ch := choice{FinishReason: f.GetFinishReason()}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = text
	}
	promptTokens, completionTokens := int(call.model.GetPromptTokens()), int(f.GetTotal())
	return completion{
		ID: call.id, Object: object, Created: call.started.Unix(), Model: modelName(call.model),
		Choices: []choice{ch},
		Usage:   usage{PromptTokens: promptTokens, CompletionTokens: completionTokens, TotalTokens: promptTokens + completionTokens},
	}
}

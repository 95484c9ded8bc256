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

// errNotFlushable means that the HTTP connection cannot stream.
var errNoFlush = errors.New("response cannot be streamed")

// wholeSink collects an answer.
type bufferSink struct{ buf bytes.Buffer }

func (s *bufferSink) write(data []byte) error {
	s.buf.Write(data)
	return nil
}

// eventSink writes an answer as server-sent events in the completions shape.
type eventSink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	// head and tail surround the JSON string of each part.
	head, tail []byte
	buf        []byte
	started    bool
}

func newEventSink(c *gin.Context, call *call, chat bool, timeout time.Duration) *eventSink {
	head, tail := eventFrame(call, chat)
	return &eventSink{w: c.Writer, rc: http.NewResponseController(c.Writer), timeout: timeout, head: head, tail: tail}
}

// eventFrame returns the constant parts of an event around the text.
func eventFrame(call *call, chat bool) (head, tail []byte) {
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

func modelName(m *v1.ModelRequest) string {
	if m.GetAdapter() == "" {
		return m.GetModel()
	}
	return m.GetModel() + ":" + m.GetAdapter()
}

// begin sends the response header once.
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

// event writes one event with the given text and finish reason (a JSON value).
func (s *eventSink) event(data []byte, finish string) error {
	s.buf = append(s.buf[:0], s.head...)
	s.buf = appendJSONString(s.buf, data)
	s.buf = append(s.buf, s.tail...)
	s.buf = append(s.buf, finish...)
	s.buf = append(s.buf, "}]}\n\n"...)
	return s.send(s.buf)
}

// appendJSONString appends text as a JSON string. Text that needs no escape is copied; the rest
// goes through encoding/json.
func appendJSONString(b, text []byte) []byte {
	if !isJSONSafe(text) {
		quoted, _ := json.Marshal(string(text)) // a string can always be encoded
		return append(b, quoted...)
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

// isPlainText reports whether encoding/json would copy the text unchanged.
func isJSONSafe(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// end marks the answer as whole. Without it, the caller must not treat the answer as complete.
func (s *eventSink) end(f *v1.Final) error {
	if err := s.event(nil, strconv.Quote(f.GetFinishReason())); err != nil {
		return err
	}
	return s.send([]byte("data: [DONE]\n\n"))
}

// fail ends a started stream with a typed error event.
func (s *eventSink) fail(requestID string, e *Error) error {
	body, err := json.Marshal(e.body(requestID))
	if err != nil {
		return err
	}
	return s.send(append(append([]byte("event: error\ndata: "), body...), "\n\n"...))
}

// send writes and flushes within the write timeout, so that a slow reader is bounded.
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

// completion is the whole answer in the completions shape.
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

func newCompletion(call *call, chat bool, text string, f *v1.Final) completion {
	ch := choice{FinishReason: f.GetFinishReason()}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = text
	}
	prompt, out := int(call.model.GetPromptTokens()), int(f.GetTotal())
	return completion{
		ID: call.id, Object: object, Created: call.started.Unix(), Model: modelName(call.model),
		Choices: []choice{ch},
		Usage:   usage{PromptTokens: prompt, CompletionTokens: out, TotalTokens: prompt + out},
	}
}

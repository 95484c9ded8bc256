package entry

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/document"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// Handler returns the HTTP handler of the API for callers.
func (e *Entry) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.CustomRecoveryWithWriter(io.Discard, e.handlePanic))
	g.POST("/v1/completions", func(c *gin.Context) { e.serveCompletion(c, false) })
	g.POST("/v1/chat/completions", func(c *gin.Context) { e.serveCompletion(c, true) })
	g.GET("/v1/models", e.serveModels)
	g.Any("/svc/:service/*path", e.servePlain)
	g.NoRoute(func(c *gin.Context) {
		writeError(c, "", invalidError(http.StatusNotFound, ReasonInvalid, "no such path: %s", c.Request.URL.Path))
	})
	return g
}

// handlePanic logs a panic of a request handler and responds with status 500.
func (e *Entry) handlePanic(c *gin.Context, v any) {
	e.log.WithFields(logrus.Fields{"panic": v, "stack": string(debug.Stack())}).Error("panic in request handler")
	c.AbortWithStatus(http.StatusInternalServerError)
}

func (e *Entry) serveModels(c *gin.Context) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, s := range e.docs.Services() {
		for _, m := range s.Models {
			list = append(list, model{ID: m.Name, Object: "model", OwnedBy: s.Service})
		}
	}
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": list})
}

func (e *Entry) serveCompletion(c *gin.Context, chat bool) {
	body, err := readBody(c, e.cfg.MaxBodyBytes)
	if err != nil {
		writeError(c, "", err)
		return
	}
	r, err := parseCompletion(body, chat)
	if err != nil {
		writeError(c, "", err)
		return
	}
	call, err := e.modelCall(c, r)
	if err == nil {
		err = checkBodyLimit(call.service, len(body))
	}
	if err != nil {
		writeError(c, "", err)
		return
	}
	c.Header(headerRequestID, call.id)
	if r.Stream {
		e.serveStream(c, call, chat)
		return
	}
	e.serveBuffered(c, call, chat)
}

// checkBodyLimit checks the size of a request body against the limit of its service.
func checkBodyLimit(s *document.Service, size int) *Error {
	if limit := s.Limits.BodyKiB << 10; limit > 0 && size > limit {
		return invalidError(http.StatusRequestEntityTooLarge, ReasonRequestTooLarge, "body is larger than %d bytes, the limit of service %s", limit, s.Service)
	}
	return nil
}

func (e *Entry) serveStream(c *gin.Context, call *call, chat bool) {
	out := newEventSink(c, call, chat, e.cfg.WriteTimeout)
	final, err := e.serve(c.Request.Context(), call, out)
	switch {
	case err == nil:
		if err := out.end(final); err != nil {
			e.log.WithField("request_id", call.id).WithError(err).Debug("failed to write the end of the stream")
		}
	case out.started:
		_ = out.fail(call.id, err)
	default:
		writeError(c, call.id, err)
	}
}

func (e *Entry) serveBuffered(c *gin.Context, call *call, chat bool) {
	out := &bufferSink{}
	final, err := e.serve(c.Request.Context(), call, out)
	if err != nil {
		writeError(c, call.id, err)
		return
	}
	c.JSON(http.StatusOK, newCompletion(call, chat, out.buf.String(), final))
}

func (e *Entry) servePlain(c *gin.Context) {
	body, err := readBody(c, e.cfg.MaxBodyBytes)
	if err != nil {
		writeError(c, "", err)
		return
	}
	call, err := e.plainCall(c, c.Param("service"), c.Param("path"), body)
	if err == nil {
		err = checkBodyLimit(call.service, len(body))
	}
	if err != nil {
		writeError(c, "", err)
		return
	}
	c.Header(headerRequestID, call.id)
	out := &bufferSink{}
	final, err := e.servePlainCall(c.Request.Context(), call, out)
	if err != nil {
		writeError(c, call.id, err)
		return
	}
	c.Data(int(final.GetStatus()), final.GetContentType(), out.buf.Bytes())
}

// serve admits a request, runs it and records its outcome.
func (e *Entry) serve(ctx context.Context, call *call, out sink) (*v1.Final, *Error) {
	release, priority, err := e.admitter.Admit(AdmitRequest{
		Caller: call.caller, Service: call.service, Kind: call.kind, Deadline: call.deadline,
		Pick: call.pickRequest(), Now: call.started,
	})
	if err != nil {
		e.recordOutcome(call, err)
		return nil, err
	}
	defer release()
	call.priority = priority
	final, err := e.run(ctx, call, out)
	e.recordOutcome(call, err)
	return final, err
}

// recordOutcome records the metrics of a finished request and logs it if it failed.
func (e *Entry) recordOutcome(call *call, err *Error) {
	elapsed := time.Since(call.started)
	outcome, reason := "complete", Reason("")
	if err != nil {
		outcome, reason = string(err.Outcome), err.Reason
	}
	onTime := err == nil && elapsed <= call.kind.Deadlines.Total.Std()
	e.metrics.Request(call.service.Service, call.kind.Name, outcome, reason, onTime, elapsed)
	if err == nil {
		return
	}
	e.log.WithFields(logrus.Fields{
		"request_id": call.id, "service": call.service.Service, "kind": call.kind.Name,
		"outcome": err.Outcome, "reason": err.Reason, "detail": err.Detail,
	}).Info("request failed")
}

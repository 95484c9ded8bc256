package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

const (
	// chunkBytes is the size of a part of an exported KV cache.
	chunkBytes = 1 << 20
	// maxExportBytes bounds the KV cache of one prompt: 128 Ki tokens of 16 KiB each.
	maxExportBytes = 2 << 30
)

// Errors of a transfer of KV cache.
var (
	errExportNotWhole = errors.New("exported KV cache ended early")
	errExportTooLarge = errors.New("exported KV cache is too large")
)

// ChunkSender sends the parts of an exported KV cache.
type ChunkSender interface {
	Send(c *v1.PrefillChunk) error
}

// Prefill computes the KV cache of a prompt and sends it. It counts as work in flight, so a
// drain waits for it.
func (s *Sidecar) Prefill(ctx context.Context, r *v1.ExecuteRequest, out ChunkSender) error {
	if s.engine == nil {
		return connect.NewError(connect.CodeFailedPrecondition, errWrongTarget)
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(r.GetRemainingMs())*time.Millisecond)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if ref := s.admit(r, cancel); ref != nil {
		return connect.NewError(connect.CodeUnavailable, fmt.Errorf("prefill refused: %s: %s", ref.reason, ref.detail))
	}
	defer s.release(r, true)
	data, err := s.exportPrompt(ctx, r)
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return sendChunks(data, out)
}

// exportPrompt lets the engine generate one token, so that the prompt is prefilled, and exports
// the KV cache. The token is generated again by the engine that decodes.
func (s *Sidecar) exportPrompt(ctx context.Context, r *v1.ExecuteRequest) ([]byte, error) {
	q := generateRequest(r)
	q.MaxTokens = q.Offset + 1
	ts, err := s.engine.Generate(ctx, q)
	if err != nil {
		return nil, err
	}
	defer ts.Close()
	for {
		c, err := ts.Next()
		if err != nil {
			return nil, err
		}
		if c.FinishReason != "" {
			return s.engine.ExportKV(ctx, q.RequestID)
		}
	}
}

func sendChunks(data []byte, out ChunkSender) error {
	for len(data) > chunkBytes {
		if err := out.Send(&v1.PrefillChunk{Data: data[:chunkBytes]}); err != nil {
			return err
		}
		data = data[chunkBytes:]
	}
	return out.Send(&v1.PrefillChunk{Data: data, Last: true})
}

// importPrompt fetches the KV cache of a prompt from another sidecar and imports it. It returns
// an empty handle if that fails: the serving engine then prefills the prompt itself.
func (s *Sidecar) importPrompt(ctx context.Context, r *v1.ExecuteRequest) string {
	if r.GetPrefill() == nil {
		return ""
	}
	handle, err := s.fetchPrompt(ctx, r)
	if err != nil {
		s.log.WithFields(logrus.Fields{"request_id": r.GetRequestId(), "from": r.GetPrefill().GetInstance()}).
			WithError(err).Info("prompt is prefilled here: no KV cache from the prefill engine")
		return ""
	}
	return handle
}

func (s *Sidecar) fetchPrompt(ctx context.Context, r *v1.ExecuteRequest) (string, error) {
	stream, err := s.cfg.Peers.Worker(r.GetPrefill().GetAddress()).Prefill(ctx, connect.NewRequest(&v1.PrefillRequest{Attempt: prefillPart(r)}))
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var data []byte
	for stream.Receive() {
		data = append(data, stream.Msg().GetData()...)
		if len(data) > maxExportBytes {
			return "", errExportTooLarge
		}
		if stream.Msg().GetLast() {
			return s.engine.ImportKV(ctx, data)
		}
	}
	if err := stream.Err(); err != nil {
		return "", err
	}
	return "", errExportNotWhole
}

// prefillPart returns the request for the prefill sidecar. Its incarnation is not named: a
// prefill has no effect that must happen at most once.
func prefillPart(r *v1.ExecuteRequest) *v1.ExecuteRequest {
	return &v1.ExecuteRequest{
		Cluster: r.GetCluster(), RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Offset: r.GetOffset(),
		Service: r.GetService(), Kind: r.GetKind(), ConfigRevision: r.GetConfigRevision(),
		RemainingMs: r.GetRemainingMs(), Priority: r.GetPriority(), Repeatable: true,
		Interruptible: r.GetInterruptible(),
		Request:       &v1.ExecuteRequest_Model{Model: r.GetModel()},
	}
}

func generateRequest(r *v1.ExecuteRequest) *external.GenerateRequest {
	m := r.GetModel()
	return &external.GenerateRequest{
		RequestID: engineRequestID(r), Model: m.GetModel(), Adapter: m.GetAdapter(), Prompt: m.GetPrompt(),
		PromptTokens: int(m.GetPromptTokens()), MaxTokens: int(m.GetMaxTokens()), Seed: m.GetSeed(),
		Priority: int(r.GetPriority()), Offset: int(r.GetOffset()),
	}
}

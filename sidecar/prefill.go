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
	// prefillChunkBytes is the maximum size of one chunk of an exported KV cache.
	prefillChunkBytes = 1 << 20
	// maxTransferBytes is the maximum size of one prompt's KV cache, 2 GiB.
	maxTransferBytes = 2 << 30
)

// Errors of a KV cache transfer.
var (
	errTransferTruncated = errors.New("KV cache transfer ended before its last chunk")
	errTransferTooLarge  = errors.New("KV cache transfer exceeds the maximum of 2 GiB")
)

// ChunkSender sends the chunks of an exported KV cache.
type ChunkSender interface {
	Send(c *v1.PrefillChunk) error
}

// Prefill computes the KV cache of a prompt and sends it. It is admitted and counted as an attempt in
// flight, so a drain waits for it.
func (s *Sidecar) Prefill(ctx context.Context, r *v1.ExecuteRequest, out ChunkSender) error {
	if s.engine == nil {
		return connect.NewError(connect.CodeFailedPrecondition, errWrongTarget)
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(r.GetRemainingMs())*time.Millisecond)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if refused := s.admit(r, cancel); refused != nil {
		return connect.NewError(connect.CodeUnavailable, fmt.Errorf("prefill refused: %s: %s", refused.reason, refused.detail))
	}
	defer s.release(r, true)
	data, err := s.exportPromptKV(ctx, r)
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return sendChunks(data, out)
}

// exportPromptKV makes the engine prefill the prompt by generating one token, and exports the KV
// cache. The token is discarded; the decode engine generates it again.
func (s *Sidecar) exportPromptKV(ctx context.Context, r *v1.ExecuteRequest) ([]byte, error) {
	req := generateRequest(r)
	req.MaxTokens = req.Offset + 1
	tokens, err := s.engine.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	defer tokens.Close()
	for {
		c, err := tokens.Next()
		if err != nil {
			return nil, err
		}
		if c.FinishReason != "" {
			return s.engine.ExportKV(ctx, req.RequestID)
		}
	}
}

// sendChunks sends data in chunks of at most prefillChunkBytes and marks the last one.
func sendChunks(data []byte, out ChunkSender) error {
	for len(data) > prefillChunkBytes {
		if err := out.Send(&v1.PrefillChunk{Data: data[:prefillChunkBytes]}); err != nil {
			return err
		}
		data = data[prefillChunkBytes:]
	}
	return out.Send(&v1.PrefillChunk{Data: data, Last: true})
}

// tryImportPromptKV calls importPromptKV and returns the handle. The handle is empty if the request
// names no prefill sidecar or the transfer fails; the local engine then prefills the prompt itself.
func (s *Sidecar) tryImportPromptKV(ctx context.Context, r *v1.ExecuteRequest) string {
	if r.GetPrefill() == nil {
		return ""
	}
	handle, err := s.importPromptKV(ctx, r)
	if err != nil {
		s.log.WithFields(logrus.Fields{"request_id": r.GetRequestId(), "from": r.GetPrefill().GetInstance()}).
			WithError(err).Info("KV cache transfer from the prefill engine failed; prefilling the prompt locally")
		return ""
	}
	return handle
}

// importPromptKV fetches the KV cache of a prompt from the prefill sidecar named in the request,
// imports it into the local engine and returns its handle there.
func (s *Sidecar) importPromptKV(ctx context.Context, r *v1.ExecuteRequest) (string, error) {
	stream, err := s.cfg.Peers.Worker(r.GetPrefill().GetAddress()).Prefill(ctx, connect.NewRequest(&v1.PrefillRequest{Attempt: prefillAttempt(r)}))
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var data []byte
	for stream.Receive() {
		data = append(data, stream.Msg().GetData()...)
		if len(data) > maxTransferBytes {
			return "", errTransferTooLarge
		}
		if stream.Msg().GetLast() {
			return s.engine.ImportKV(ctx, data)
		}
	}
	if err := stream.Err(); err != nil {
		return "", err
	}
	return "", errTransferTruncated
}

// prefillAttempt returns the attempt to send to the prefill sidecar. It is repeatable and names no
// incarnation, because repeating a prefill has no side effects.
func prefillAttempt(r *v1.ExecuteRequest) *v1.ExecuteRequest {
	return &v1.ExecuteRequest{
		Cluster: r.GetCluster(), RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Offset: r.GetOffset(),
		Service: r.GetService(), Kind: r.GetKind(), ConfigRevision: r.GetConfigRevision(),
		RemainingMs: r.GetRemainingMs(), Priority: r.GetPriority(), Repeatable: true,
		Interruptible: r.GetInterruptible(),
		Request:       &v1.ExecuteRequest_Model{Model: r.GetModel()},
	}
}

// generateRequest converts a model attempt to the engine's request.
func generateRequest(r *v1.ExecuteRequest) *external.GenerateRequest {
	m := r.GetModel()
	return &external.GenerateRequest{
		RequestID: engineRequestID(r), Model: m.GetModel(), Adapter: m.GetAdapter(), Prompt: m.GetPrompt(),
		PromptTokens: int(m.GetPromptTokens()), MaxTokens: int(m.GetMaxTokens()), Seed: m.GetSeed(),
		Priority: int(r.GetPriority()), Offset: int(r.GetOffset()),
	}
}

package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/quetzallug/quetzallug/document"
)

const (
	// maxPrefixBlocks is the number of leading prompt blocks that are used for routing by prefix.
	maxPrefixBlocks = 8
	// digestBytes is the length of a truncated hash. 96 bits make collisions between callers
	// negligible.
	digestBytes = 12
)

// newCall checks the idempotency key and builds a call. setRequest adds the model or plain request.
func (e *Entry) newCall(c *gin.Context, s *document.Service, k *document.Kind, user string, setRequest func(*call)) (*call, *Error) {
	key := c.GetHeader(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, invalidError(http.StatusBadRequest, ReasonInvalid, "header %s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, notRunError(ReasonInvalid, "generate request ID: %v", err)
	}
	now := time.Now()
	_, revision := e.docs.Lookup(s.Service)
	out := &call{
		id: id.String(), caller: callerID(c, user), service: s, revision: revision, kind: k,
		deadline: now.Add(k.Deadlines.Total.Std()), key: key, started: now,
	}
	setRequest(out)
	return out, nil
}

// digest returns a truncated hash of credentials, so that they are neither stored nor logged.
func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:digestBytes])
}

// estimateTokens estimates the number of tokens of a prompt by its number of words.
func estimateTokens(s string) int {
	n, inWord := 0, false
	for i := range len(s) {
		space := s[i] == ' ' || s[i] == '\n' || s[i] == '\t' || s[i] == '\r'
		if !space && !inWord {
			n++
		}
		inWord = !space
	}
	return n
}

package entry

import (
	"time"

	"github.com/quetzallug/quetzallug/once"
)

// settleTimeout bounds the update of an idempotency key's claim after its request has ended.
const settleTimeout = 3 * time.Second

// Claimer records claims on idempotency keys, so that a non-repeatable request runs at most once
// even if its caller retries it.
type Claimer = once.Claimer

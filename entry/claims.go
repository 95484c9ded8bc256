package entry

import (
	"time"

	"github.com/quetzallug/quetzallug/once"
)

// settleTimeout bounds the recording of a keyed answer.
const settleTimeout = 3 * time.Second

// Claimer records claims of keyed requests, so that a request that may not be repeated runs at
// most once over retries by its caller.
type Claimer = once.Claimer

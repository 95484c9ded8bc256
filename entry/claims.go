package entry

import (
	"context"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// Claimer records claims of keyed requests, so that a request that may not be repeated runs at
// most once over retries by its caller.
type Claimer interface {
	Claim(ctx context.Context, r *v1.ClaimRequest) (*v1.ClaimResponse, error)
}

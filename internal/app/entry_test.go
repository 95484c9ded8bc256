package app

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against shares that leave a pool without a holder, even while half of the listed entries are down.
func TestPoolShare(t *testing.T) {
	assert.Zero(t, poolShare(3, 0), "an entry with an empty list takes no pools")
	for entries := 1; entries < 400; entries++ {
		for _, pools := range []int{0, 1, 3, 40} {
			share := poolShare(pools, entries)
			assert.Positive(t, share)
			assert.GreaterOrEqual(t, share*max(1, (entries+1)/2), pools)
		}
	}
	assert.Equal(t, 1, poolShare(40, 340))
	assert.Equal(t, 2, poolShare(3, 3))
}

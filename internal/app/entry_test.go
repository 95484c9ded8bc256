package app

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against pools that no entry may take, also while half of the entries are gone.
func TestPoolShare(t *testing.T) {
	for entries := range 400 {
		for _, pools := range []int{0, 1, 3, 40} {
			share := poolShare(pools, entries)
			assert.Positive(t, share)
			assert.GreaterOrEqual(t, share*max(1, (entries+1)/2), pools)
		}
	}
	assert.Equal(t, 1, poolShare(40, 340))
	assert.Equal(t, 2, poolShare(3, 3))
}

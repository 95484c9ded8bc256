package order_test

import (
	"testing"
	"testing/synctest"
)

// runInBubble runs f in a synctest bubble and returns the violations that it found. It does not
// fail the test itself, so that rapid can shrink the input.
func runInBubble(t *testing.T, f func(t *testing.T) []string) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { violations = f(t) })
	return violations
}

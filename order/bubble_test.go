package order_test

import (
	"testing"
	"testing/synctest"
)

// bubble runs f under virtual time and returns its result, so that rapid can shrink a failure.
func bubble(t *testing.T, f func(t *testing.T) []string) (bad []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { bad = f(t) })
	return bad
}

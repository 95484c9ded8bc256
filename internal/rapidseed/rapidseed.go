// Package rapidseed fixes the seed of property-based tests, so that their results are reproducible.
// Test packages import it for its side effect. The environment variables QUETZALLUG_RAPID_SEED and
// QUETZALLUG_RAPID_CHECKS override the seed and the number of checks; flags of the test command
// override both.
package rapidseed

import (
	"cmp"
	"flag"
	"os"

	// The import makes rapid register its flags before init sets them.
	_ "pgregory.net/rapid"
)

const (
	defaultSeed   = "20261204"
	defaultChecks = "100"
)

func init() {
	setFlag("rapid.seed", cmp.Or(os.Getenv("QUETZALLUG_RAPID_SEED"), defaultSeed))
	setFlag("rapid.checks", cmp.Or(os.Getenv("QUETZALLUG_RAPID_CHECKS"), defaultChecks))
	// Failure files are not needed, because a failure prints its seed, and rapid would replay them in
	// later runs.
	setFlag("rapid.nofailfile", "true")
}

// setFlag sets a flag of the test binary.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("rapidseed: " + err.Error())
	}
}

// Package rapidseed fixes the seed of property-based tests, so that CI gives the same verdict
// each time. Test packages import it for its effect. The environment variables
// QUETZALLUG_RAPID_SEED and QUETZALLUG_RAPID_CHECKS replace the seed and the number of checks;
// flags of the test command come before both.
package rapidseed

import (
	"cmp"
	"flag"
	"os"

	// The flags of rapid must be registered first.
	_ "pgregory.net/rapid"
)

const (
	defaultSeed   = "20261204"
	defaultChecks = "100"
)

func init() {
	set("rapid.seed", cmp.Or(os.Getenv("QUETZALLUG_RAPID_SEED"), defaultSeed))
	set("rapid.checks", cmp.Or(os.Getenv("QUETZALLUG_RAPID_CHECKS"), defaultChecks))
	// A failure prints its seed; files of failures would change later runs.
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("rapidseed: " + err.Error())
	}
}

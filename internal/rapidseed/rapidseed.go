// Package rapidseed fixes the seed of drawn property tests, so that every run of CI on a commit draws the same cases.
// A test package that uses rapid imports it for its effect. It is not part of the product.
package rapidseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // defines the flag
)

// variable names the environment variable with the seed. Unset, or 0, each run draws cases of its own. The flag
// -rapid.seed on the command line goes before it.
const variable = "RAPID_SEED"

func init() {
	seed := os.Getenv(variable)
	if seed == "" {
		return
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(variable + ": " + err.Error())
	}
}

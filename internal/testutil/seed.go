// Package testutil holds helpers shared by the tests of several packages.
package testutil

import (
	"flag"

	// The import registers the flags that the init below sets.
	_ "pgregory.net/rapid"
)

// rapidSeed makes property tests generate the same cases on every run. A seed on
// the command line overrides it, since flags are parsed later.
const rapidSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}

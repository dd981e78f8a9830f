// Package testutil holds what several packages' tests share.
package testutil

import (
	"flag"

	// The import registers the flags that the init below sets.
	_ "pgregory.net/rapid"
)

// rapidSeed makes property tests draw the same cases on every run. A seed
// given on the command line replaces it, since flags are parsed later.
const rapidSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}

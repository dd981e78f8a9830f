package partition_test

import (
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/core/partition"
)

func TestRootKeySeparatesOrganisationFromRequest(t *testing.T) {
	is := is.New(t)
	is.Equal(partition.NewRootKey("ab", "c"), partition.NewRootKey("ab", "c"))
	is.True(partition.NewRootKey("ab", "c") != partition.NewRootKey("a", "bc"))
	is.Equal(len(partition.NewRootKey("ab", "c")), 32)
}

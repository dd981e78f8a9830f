package routing

import (
	"slices"

	"yuccausher/internal/core/rendezvous"
)

// SubsetSize is how many targets of a group one host uses, in addition to those that
// hold the prefix of a call. It bounds how many targets a host polls and tracks.
const SubsetSize = 24

// Subset returns the targets that a host uses, by rendezvous hashing of host and
// target, so that the subsets of hosts differ and change little with the list of
// targets. Up to half are in the host's own data centre. Targets that are leaving or
// down are left out.
func Subset(host string, targets []*Target) []*Target {
	usable := slices.DeleteFunc(slices.Clone(targets), func(t *Target) bool {
		return t.State() >= Leaving
	})
	if len(usable) <= SubsetSize {
		return usable
	}
	ranked := rendezvous.Order(host+"/", usable, func(t *Target) string { return t.Name })
	subset := make([]*Target, 0, SubsetSize)
	for _, t := range ranked {
		if t.Local && len(subset) < SubsetSize/2 {
			subset = append(subset, t)
		}
	}
	local := len(subset)
	for _, t := range ranked {
		if len(subset) == SubsetSize {
			break
		}
		if !slices.Contains(subset[:local], t) {
			subset = append(subset, t)
		}
	}
	return subset
}

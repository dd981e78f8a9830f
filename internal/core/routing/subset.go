package routing

import (
	"slices"

	"yuccausher/internal/core/rendezvous"
)

// SubsetSize is how many targets of a group one host uses, besides those that
// hold the prefix of a call. It bounds what a host has to poll and know.
const SubsetSize = 24

// Subset returns the targets that a host uses, by rendezvous hashing of the
// host and the target, so that hosts differ and a change of the list moves
// little. Up to half are of the host's own data centre. Leaving and lost
// targets are passed over.
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
	near := len(subset)
	for _, t := range ranked {
		if len(subset) == SubsetSize {
			break
		}
		if !slices.Contains(subset[:near], t) {
			subset = append(subset, t)
		}
	}
	return subset
}

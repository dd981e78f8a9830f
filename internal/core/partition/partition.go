// Package partition maps programs to partitions, partitions to log streams,
// and partitions to the host that should own them.
package partition

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// separator parts the root key of a program ID from the rest.
const separator = "."

// RootKey returns the part of a program ID that the whole tree of programs
// under one root shares.
func RootKey(programID string) string {
	key, _, _ := strings.Cut(programID, separator)
	return key
}

// ID joins a root key and the rest of a program ID.
func ProgramID(rootKey, rest string) string { return rootKey + separator + rest }

// Of returns the partition of a program, out of count partitions.
func Of(programID string, count uint32) uint32 {
	return OfKey(RootKey(programID), count)
}

// OfKey returns the partition of a root key, out of count partitions.
func OfKey(rootKey string, count uint32) uint32 {
	return uint32(xxhash.Sum64String(rootKey) % uint64(count))
}

// Stream returns the name of the log stream that carries a partition.
func Stream(p, streams uint32) string {
	return "state-" + strconv.FormatUint(uint64(p%streams), 10)
}

// Score is the weight of a host for a partition in rendezvous hashing.
func Score(p uint32, host string) uint64 {
	var buf [96]byte
	b := strconv.AppendUint(buf[:0], uint64(p), 10)
	b = append(b, '/')
	b = append(b, host...)
	return xxhash.Sum64(b)
}

// First returns the host with the highest score, or "" without hosts.
func PreferredHost(p uint32, hosts []string) string {
	var best string
	var bestScore uint64
	for _, h := range hosts {
		s := Score(p, h)
		if best == "" || s > bestScore || (s == bestScore && h < best) {
			best, bestScore = h, s
		}
	}
	return best
}

// Package partition maps programs to partitions, partitions to log streams,
// and partitions to the host that should own them.
package partition

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// separator separates the root key of a program ID from the rest.
const separator = "."

// RootKey returns the root key of a program ID. All programs of one tree share
// it.
func RootKey(programID string) string {
	key, _, _ := strings.Cut(programID, separator)
	return key
}

// ProgramID returns the program ID formed from a root key and a suffix.
func ProgramID(rootKey, suffix string) string { return rootKey + separator + suffix }

// Of returns the partition of a program in a system of count partitions.
func Of(programID string, count uint32) uint32 {
	return OfKey(RootKey(programID), count)
}

// OfKey returns the partition of a root key in a system of count partitions.
func OfKey(rootKey string, count uint32) uint32 {
	return uint32(xxhash.Sum64String(rootKey) % uint64(count))
}

// Stream returns the name of the log stream that carries partition p in a system
// of that many streams.
func Stream(p, streams uint32) string {
	return "state-" + strconv.FormatUint(uint64(p%streams), 10)
}

// Score returns the rendezvous hashing weight of a host for partition p.
func Score(p uint32, host string) uint64 {
	var buf [96]byte
	b := strconv.AppendUint(buf[:0], uint64(p), 10)
	b = append(b, '/')
	b = append(b, host...)
	return xxhash.Sum64(b)
}

// PreferredHost returns the host with the highest score for partition p, or ""
// if hosts is empty. Equal scores are resolved by the lower host ID.
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

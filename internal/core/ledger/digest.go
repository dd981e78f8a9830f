package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// TurnDigest returns the SHA-256 digest of a program's next turn. It covers the
// program's ID, the turn's seq, the previous turn's digest, the input and the
// output, so that the digests form a chain over the history.
func TurnDigest(g *Program, input, output []byte) []byte {
	h := sha256.New()
	writePart(h, []byte(g.ID))
	writePart(h, binary.BigEndian.AppendUint64(nil, uint64(g.NextSeq())))
	writePart(h, g.Digest)
	writePart(h, input)
	writePart(h, output)
	return h.Sum(nil)
}

// Fingerprint returns the SHA-256 digest of a call's content. It does not depend
// on the program or the request ID.
func Fingerprint(kind, name, operation string, input []byte, maxTokens int64) []byte {
	h := sha256.New()
	writePart(h, []byte(kind))
	writePart(h, []byte(name))
	writePart(h, []byte(operation))
	writePart(h, input)
	writePart(h, binary.BigEndian.AppendUint64(nil, uint64(maxTokens)))
	return h.Sum(nil)
}

// ShortFingerprint returns the first 8 bytes of a fingerprint as a big-endian
// integer.
func ShortFingerprint(fingerprint []byte) uint64 {
	return binary.BigEndian.Uint64(fingerprint)
}

// writePart writes a part prefixed with its length, so that different splits of
// the same bytes into parts have different digests.
func writePart(h hash.Hash, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	h.Write(size[:])
	h.Write(part)
}

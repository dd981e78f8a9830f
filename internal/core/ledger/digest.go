package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// TurnDigest returns the digest of a program's next turn. It is chained over
// the program's ID, the turn's seq and the digest before it.
func TurnDigest(g *Program, input, output []byte) []byte {
	h := sha256.New()
	writePart(h, []byte(g.ID))
	writePart(h, binary.BigEndian.AppendUint64(nil, uint64(g.NextSeq())))
	writePart(h, g.Digest)
	writePart(h, input)
	writePart(h, output)
	return h.Sum(nil)
}

// Fingerprint identifies a call's content, whatever its program and ID.
func Fingerprint(kind, name, operation string, input []byte, maxTokens int64) []byte {
	h := sha256.New()
	writePart(h, []byte(kind))
	writePart(h, []byte(name))
	writePart(h, []byte(operation))
	writePart(h, input)
	writePart(h, binary.BigEndian.AppendUint64(nil, uint64(maxTokens)))
	return h.Sum(nil)
}

// ShortFingerprint returns the first bytes of a fingerprint as a number.
func ShortFingerprint(fingerprint []byte) uint64 {
	return binary.BigEndian.Uint64(fingerprint)
}

// writePart adds a part with its length, so that parts can't run together.
func writePart(h hash.Hash, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	h.Write(size[:])
	h.Write(part)
}

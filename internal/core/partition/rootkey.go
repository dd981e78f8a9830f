package partition

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// rootKeyBytes is the length of a root key before hex encoding, in bytes.
const rootKeyBytes = 16

// NewRootKey derives the root key of a new program from the organisation and the
// request ID. Every host derives the same key for the same request, so that a
// repeated request is routed to the same owner.
func NewRootKey(organisation, requestID string) string {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(organisation)))
	h.Write(length[:])
	h.Write([]byte(organisation))
	h.Write([]byte(requestID))
	return hex.EncodeToString(h.Sum(nil)[:rootKeyBytes])
}

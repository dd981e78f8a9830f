package partition

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// rootKeyBytes is the length of a root key before it is written as hex.
const rootKeyBytes = 16

// NewRootKey returns the root key of the program that an organisation opens
// with a request ID. The same request gives the same key at every host, so that
// a repeated request reaches the same owner.
func NewRootKey(organisation, requestID string) string {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(organisation)))
	h.Write(length[:])
	h.Write([]byte(organisation))
	h.Write([]byte(requestID))
	return hex.EncodeToString(h.Sum(nil)[:rootKeyBytes])
}

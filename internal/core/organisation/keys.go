// Package organisation finds the organisation that a key belongs to.
package organisation

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"
	"sync"
)

// secret is the key of the hashes. It is random per process, so that callers can't choose inputs by
// their hashes and a dump of one process tells nothing about another.
var secret = sync.OnceValue(func() []byte {
	s := make([]byte, sha256.Size)
	// Read never fails: the runtime ends the process if the system has no random numbers.
	_, _ = rand.Read(s)
	return s
})

// hashes holds hash states for reuse by concurrent lookups.
var hashes = sync.Pool{New: func() any { return hmac.New(sha256.New, secret()) }}

// digest is the keyed hash of a key.
type digest [sha256.Size]byte

func digestOf(key string) digest {
	h := hashes.Get().(hash.Hash)
	defer hashes.Put(h)
	h.Reset()
	_, _ = h.Write([]byte(key)) // a hash.Hash never returns an error
	var d digest
	h.Sum(d[:0])
	return d
}

// Keys maps keys to the organisations that own them. It stores keyed hashes (HMAC-SHA-256) only, so
// that a lookup takes constant time in the number of keys and does not compare them with a caller's
// input. Add must not run concurrently with other methods.
type Keys[T comparable] struct {
	owners map[digest]T
	// shared holds the keys of several owners. They identify none of them.
	shared map[digest]bool
}

// NewKeys returns an empty map for about n keys.
func NewKeys[T comparable](n int) *Keys[T] {
	return &Keys[T]{owners: make(map[digest]T, n), shared: make(map[digest]bool)}
}

// Add adds a key. If another owner has the key, it returns that one and false; from then on the
// key is refused, because a request with it can't be attributed.
func (k *Keys[T]) Add(key string, owner T) (T, bool) {
	d := digestOf(key)
	if other, ok := k.owners[d]; ok && other != owner {
		k.shared[d] = true
		return other, false
	}
	k.owners[d] = owner
	return owner, true
}

// Owner returns the owner of a key. It returns false if the key is unknown or has several owners.
func (k *Keys[T]) Owner(key string) (T, bool) {
	d := digestOf(key)
	owner, ok := k.owners[d]
	if !ok || k.shared[d] {
		var none T
		return none, false
	}
	return owner, true
}

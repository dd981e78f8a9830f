package organisation

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

// A key must lead to its organisation and to no other, whatever keys there are, and a key of two
// organisations to none: its requests would be counted against the wrong one.
func TestKeysLeadToTheirOnlyOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[ab]{0,4}`)
		k := NewKeys[int](0)
		owners := map[string]map[int]bool{}
		for range rapid.IntRange(0, 20).Draw(t, "keys") {
			text, owner := key.Draw(t, "key"), rapid.IntRange(1, 3).Draw(t, "owner")
			if owners[text] == nil {
				owners[text] = map[int]bool{}
			}
			owners[text][owner] = true
			other, ok := k.Add(text, owner)
			if isShared := len(owners[text]) > 1; ok && other != owner || !ok && !isShared || !ok && !owners[text][other] {
				t.Fatalf("owner %d of %q was added: %d, %t", owner, text, other, ok)
			}
		}
		for range 20 {
			text := key.Draw(t, "lookup")
			owner, ok := k.Owner(text)
			if ok != (len(owners[text]) == 1) || ok && !owners[text][owner] {
				t.Fatalf("owner of %q is %d, %t; added were %v", text, owner, ok, owners[text])
			}
		}
	})
}

// A dump of the index, as in a log line of a whole structure, must not show keys.
func TestIndexHoldsNoKeys(t *testing.T) {
	is := is.New(t)
	k := NewKeys[string](1)
	k.Add("key-in-plain-text", "a")
	is.True(!strings.Contains(fmt.Sprintf("%+v %q", k, k.owners), "key-in-plain-text"))
}

// Requests look keys up concurrently, so that they must not share the state of a hash.
func TestConcurrentLookups(t *testing.T) {
	k := NewKeys[int](100)
	for i := range 100 {
		k.Add(fmt.Sprint("key", i), i)
	}
	var done sync.WaitGroup
	for range 4 {
		done.Go(func() {
			for i := range 100 {
				if owner, ok := k.Owner(fmt.Sprint("key", i)); !ok || owner != i {
					t.Errorf("owner of key %d is %d, %t", i, owner, ok)
				}
			}
		})
	}
	done.Wait()
}

// The time of a lookup must not grow with the number of keys.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{10, 4200} {
		k := NewKeys[int](n)
		for i := range n {
			k.Add(fmt.Sprint("key", i), i)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				k.Owner("key7")
			}
		})
	}
}

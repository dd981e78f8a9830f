package rendezvous

import (
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func identity(s string) string { return s }

func TestOrderDependsOnNamesOnly(t *testing.T) {
	is := is.New(t)
	items := []string{"a", "b", "c", "d", "e"}
	want := Order("key", items, identity)
	slices.Reverse(items)
	is.Equal(Order("key", items, identity), want)
}

func TestRemovingItemKeepsOrderOfOthers(t *testing.T) {
	is := is.New(t)
	items := []string{"a", "b", "c", "d", "e"}
	before := Order("key", items, identity)
	after := Order("key", slices.Delete(items, 2, 3), identity)
	is.Equal(slices.DeleteFunc(before, func(s string) bool { return s == "c" }), after)
}

func TestKeysSpreadOverItems(t *testing.T) {
	is := is.New(t)
	firsts := map[string]int{}
	for i := range 3000 {
		firsts[Order(strconv.Itoa(i), []string{"a", "b", "c"}, identity)[0]]++
	}
	for _, n := range firsts {
		is.True(n > 850 && n < 1150)
	}
}

func TestCacheFollowsTheHosts(t *testing.T) {
	is := is.New(t)
	c := Cache{Limit: 2}
	hosts := []string{"a", "b", "c", "d"}
	is.Equal(c.Order("t", hosts), Order("t", hosts, identity)[:2])
	fewer := []string{"a", "b", "c"}
	is.Equal(c.Order("t", fewer), Order("t", fewer, identity)[:2])
	for i := range 3 * maxCachedKeys {
		c.Order(strconv.Itoa(i), fewer)
	}
	is.True(len(c.byKey) <= maxCachedKeys)
}

package rendezvous

import (
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func self(s string) string { return s }

func TestOrderDependsOnNamesOnly(t *testing.T) {
	is := is.New(t)
	items := []string{"a", "b", "c", "d", "e"}
	want := Order("key", items, self)
	slices.Reverse(items)
	is.Equal(Order("key", items, self), want)
}

func TestItemThatGoesMovesNoOther(t *testing.T) {
	is := is.New(t)
	items := []string{"a", "b", "c", "d", "e"}
	before := Order("key", items, self)
	after := Order("key", slices.Delete(items, 2, 3), self)
	is.Equal(slices.DeleteFunc(before, func(s string) bool { return s == "c" }), after)
}

func TestKeysSpreadOverItems(t *testing.T) {
	is := is.New(t)
	firsts := map[string]int{}
	for i := range 3000 {
		firsts[Order(strconv.Itoa(i), []string{"a", "b", "c"}, self)[0]]++
	}
	for _, n := range firsts {
		is.True(n > 850 && n < 1150)
	}
}

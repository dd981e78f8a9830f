package route

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func member(name string, priority int, keys ...string) Member {
	return Member{Organisation: Organisation{Name: name, Priority: priority, HasPriority: true, RatePerSecond: 10, Burst: 5}, Keys: keys}
}

func TestKeysOfOrganisations(t *testing.T) {
	is := is.New(t)
	none := NewTable(Document{Version: 1})
	is.True(!none.RequiresKeys())
	_, ok := none.Organisation("")
	is.True(!ok)

	table := NewTable(Document{Organisations: []Member{member("a", 1, "k1", "k2", "", "k1"), member("b", 2, "k3", "")}})
	is.True(table.RequiresKeys())
	is.Equal(table.OrganisationCount(), 2)
	is.Equal(len(table.OrganisationFaults()), 0)
	a, ok := table.Organisation("k2")
	is.True(ok)
	is.Equal(*a, Organisation{Name: "a", Priority: 1, HasPriority: true, RatePerSecond: 10, Burst: 5})
	byName, ok := table.OrganisationByName("a")
	is.True(ok && byName == a)
	for _, key := range []string{"", "k4", "a"} {
		_, ok := table.Organisation(key)
		is.True(!ok)
	}
}

// Requests with a key of two organisations must count for neither, and operators must learn of it
// without reading the key in a log.
func TestEntriesThatContradictEachOther(t *testing.T) {
	is := is.New(t)
	table := NewTable(Document{Organisations: []Member{member("a", 1, "own-a", "shared"), member("b", 2, "own-b", "shared"), member("a", 7, "more-a"), member("", 0, "nobody")}})
	for key, owner := range map[string]string{"own-a": "a", "own-b": "b", "more-a": "a", "shared": "", "nobody": ""} {
		o, ok := table.Organisation(key)
		is.Equal(ok, owner != "")
		if ok {
			is.Equal(o.Name, owner)
		}
	}
	a, _ := table.OrganisationByName("a")
	is.Equal(a.Priority, 1)
	faults := strings.Join(table.OrganisationFaults(), "\n")
	is.Equal(len(table.OrganisationFaults()), 3)
	for _, key := range []string{"own-a", "own-b", "more-a", "shared", "nobody"} {
		is.True(!strings.Contains(faults, key))
	}

	// A configuration that names organisations without valid keys must not open its routes to all.
	is.True(NewTable(Document{Organisations: []Member{member("", 0, "nobody")}}).RequiresKeys())
}

// Only priorities that requests may have take a part of the few levels of engines.
func TestPriorityRank(t *testing.T) {
	is := is.New(t)
	rank := func(table *Table, priority int) [2]int {
		r, n := table.PriorityRank(priority)
		return [2]int{r, n}
	}
	routes := []Route{{Name: "r", Priority: 4}, {Name: "p", Priority: 9, IsPublic: true}}
	is.Equal(rank(NewTable(Document{Routes: routes}), 4), [2]int{0, 0})
	own := NewTable(Document{Routes: routes, Organisations: []Member{member("a", 3), member("b", 1), member("c", 3)}})
	is.Equal(rank(own, 1), [2]int{0, 3})
	is.Equal(rank(own, 3), [2]int{1, 3})
	is.Equal(rank(own, 9), [2]int{2, 3})
	byRoute := NewTable(Document{Routes: routes, Organisations: []Member{member("a", 3), {Organisation: Organisation{Name: "b"}}}})
	is.Equal(rank(byRoute, 4), [2]int{1, 3})
}

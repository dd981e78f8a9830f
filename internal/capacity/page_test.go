package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The page and the measurements that it was made from.
const (
	pageFile     = "../../docs/CAPACITY.md"
	measuredFile = "../../docs/capacity/measured.txt"
)

func measured(is *is.I) Measurements {
	is.Helper()
	file, err := os.Open(measuredFile)
	is.NoErr(err)
	defer file.Close()
	m, err := Load(file, measuredFile)
	is.NoErr(err)
	return m
}

// TestPageFollowsTheMeasurements keeps the committed page from drifting from
// the committed measurements and the model.
func TestPageFollowsTheMeasurements(t *testing.T) {
	is := is.New(t)
	m := measured(is)
	page, err := os.ReadFile(pageFile)
	is.NoErr(err)
	fresh, err := Insert(string(page), Tables(m, Planned()))
	is.NoErr(err)
	is.Equal(fresh == string(page), true) // run the two commands at the top of the page
}

// TestEveryRowIsMeasured: no figure of the page lacks its series, and each
// fitted series that it uses has at least four sizes.
func TestEveryRowIsMeasured(t *testing.T) {
	is := is.New(t)
	m := measured(is)
	for _, r := range Rows(m, Planned()) {
		if r.Missing() {
			t.Errorf("%s: %s is not measured", r.Role, r.Quantity)
		}
	}
	for k, points := range m {
		if len(points) < 4 {
			t.Errorf("%s %s has %d sizes", k.Name, k.Unit, len(points))
		}
	}
}

func TestRowsOverTheirBoundAreRed(t *testing.T) {
	is := is.New(t)
	over := Row{Value: 3, Limit: 2}
	is.True(over.Over())
	is.True(strings.Contains(verdict(over), "over, 1.5 times"))
	is.Equal(verdict(Row{Value: 1, Limit: 2}), "within")
	is.True(!Row{Value: 5}.Over())
	_, err := Insert("no markers", "tables")
	is.True(err != nil)
}

package capacity

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const output = `goos: linux
pkg: yuccausher/internal/x
BenchmarkCapacityX/n=10-10      100   2000 ns/op   40 bytes/turn
BenchmarkCapacityX/n=20-10      100   3000 ns/op   80 bytes/turn
BenchmarkCapacityX/n=40-10      100   5000 ns/op  160 bytes/turn
BenchmarkCapacityY-10           100   7 appends/op
PASS
`

func TestLoadAndFit(t *testing.T) {
	is := is.New(t)
	m, err := Load(strings.NewReader(output), "out")
	is.NoErr(err)

	l := Fit(m[Key{Name: "CapacityX", Unit: "sec/op"}])
	is.Equal(l.Points, 3)
	is.True(math.Abs(l.Slope-100e-9) < 1e-15)
	is.True(math.Abs(l.Intercept-1000e-9) < 1e-15)
	is.True(l.Residual < 1e-9)
	is.True(math.Abs(l.At(100)-11e-6) < 1e-12)

	c := Fit(m[Key{Name: "CapacityY", Unit: "appends/op"}])
	is.Equal(c.Points, 1)
	is.Equal(c.At(1000), 7.0)
}

func TestFitReportsTheResidual(t *testing.T) {
	is := is.New(t)
	l := Fit([]Point{{1, 1}, {2, 2}, {3, 3}, {4, 8}})
	is.True(l.Residual > 0.1)
	is.True(math.IsNaN(Fit(nil).At(3)))
}

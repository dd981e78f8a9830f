// Package capacity turns measured benchmark slopes into the load of each role
// at a planned size. It is used to write docs/CAPACITY.md, so that the page
// cannot drift from the code.
package capacity

import (
	"io"
	"math"
	"sort"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
	"gonum.org/v1/gonum/stat"
)

// Point is one measured value at one size.
type Point struct {
	N     float64
	Value float64
}

// Key names one series: a benchmark, without its size, and a unit.
type Key struct {
	// Name is the benchmark's name without "Benchmark" and its size.
	Name string
	// Unit is the unit that benchfmt reports, for example "sec/op".
	Unit string
}

// Measurements holds series by key, each sorted by size.
type Measurements map[Key][]Point

// sizePrefix may stand before the size in a sub-benchmark's name: "/n=100".
const sizePrefix = "n="

// Load reads the output of "go test -bench". Runs of the same benchmark at
// the same size are averaged. Errors are those of r.
func Load(r io.Reader, name string) (Measurements, error) {
	sums := make(map[Key]map[float64][]float64)
	reader := benchfmt.NewReader(r, name)
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		addResult(sums, result)
	}
	if err := reader.Err(); err != nil {
		return nil, err
	}
	return average(sums), nil
}

func addResult(sums map[Key]map[float64][]float64, r *benchfmt.Result) {
	base, n := splitName(r.Name)
	for _, v := range r.Values {
		k := Key{Name: base, Unit: v.Unit}
		if sums[k] == nil {
			sums[k] = make(map[float64][]float64)
		}
		sums[k][n] = append(sums[k][n], v.Value)
	}
}

// splitName separates the size from a full benchmark name. A benchmark
// without a size has size 1; any other part stays in the name.
func splitName(full benchfmt.Name) (base string, n float64) {
	first, parts := full.Parts()
	base = string(first)
	n = 1
	for _, p := range parts {
		s := strings.TrimPrefix(string(p), "/")
		if strings.HasPrefix(s, "-") {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimPrefix(s, sizePrefix), 64)
		if err != nil {
			base += "/" + s
			continue
		}
		n = v
	}
	return base, n
}

func average(sums map[Key]map[float64][]float64) Measurements {
	m := make(Measurements, len(sums))
	for k, bySize := range sums {
		for n, values := range bySize {
			m[k] = append(m[k], Point{N: n, Value: stat.Mean(values, nil)})
		}
		points := m[k]
		sort.Slice(points, func(i, j int) bool { return points[i].N < points[j].N })
	}
	return m
}

// Line is a least-squares fit of value = Intercept + Slope*n.
type Line struct {
	Intercept float64
	Slope     float64
	// Residual is the largest distance of a point from the line, as a share
	// of the largest value.
	Residual float64
	Points   int
}

// At returns the fitted value at size n, never below zero.
func (l Line) At(n float64) float64 { return math.Max(0, l.Intercept+l.Slope*n) }

// Fit returns the least-squares line through a series. A series of one point
// is a constant.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{Intercept: math.NaN(), Slope: math.NaN(), Residual: math.NaN()}
	}
	if len(points) == 1 {
		return Line{Intercept: points[0].Value, Points: 1}
	}
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.N, p.Value
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	l := Line{Intercept: a, Slope: b, Points: len(points)}
	l.Residual = residual(l, points)
	return l
}

func residual(l Line, points []Point) float64 {
	var worst, largest float64
	for _, p := range points {
		worst = math.Max(worst, math.Abs(p.Value-l.Intercept-l.Slope*p.N))
		largest = math.Max(largest, math.Abs(p.Value))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}

package capacity

import "math"

// Class tells the fleet's own traffic and state from those of its callers.
type Class string

// The classes. Only control is held against the bounds of control.
const (
	Control Class = "control"
	Data    Class = "data"
)

// Unit is the unit of a row's value.
type Unit string

// The units of rows.
const (
	Cores     Unit = "cores"
	Bytes     Unit = "bytes"
	ByteRate  Unit = "bytes/s"
	Rate      Unit = "1/s"
	Seconds   Unit = "s"
	CountUnit Unit = ""
)

// Row is one figure of the page.
type Row struct {
	Role     string
	Quantity string
	Class    Class
	Unit     Unit
	Value    float64
	// Limit is the bound that the value is held against; zero means none.
	Limit float64
	// Basis says which series and what arithmetic give the value.
	Basis string
	// Mechanism names what carries the value, today or later.
	Mechanism string
}

// Over says whether the value exceeds its limit.
func (r Row) Over() bool { return r.Limit > 0 && r.Value > r.Limit }

// Missing says whether a series that the row needs was not measured.
func (r Row) Missing() bool { return math.IsNaN(r.Value) }

// fits gives access to the fitted lines of measured series.
type fits struct{ m Measurements }

func (f fits) line(name, unit string) Line { return Fit(f.m[Key{Name: name, Unit: unit}]) }

func (f fits) at(name, unit string, n float64) float64 { return f.line(name, unit).At(n) }

func (f fits) slope(name, unit string) float64 { return f.line(name, unit).Slope }

// The units that the benchmarks report.
const (
	unitSeconds  = "sec/op"
	unitHeap     = "heap-bytes"
	unitLog      = "log-bytes"
	unitSent     = "sent-B/s"
	unitState    = "state-B/op"
	unitRecord   = "record-B/op"
	unitRead     = "read-B/op"
	bytesOfToken = 4
)

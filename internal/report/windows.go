package report

import (
	"cmp"
	"slices"
	"time"
)

// maxSamples limits the latencies that are kept of a window and route.
const maxSamples = 4096

// Window is what became of the requests of one route that ended in a period.
type Window struct {
	Start    time.Duration
	Route    string
	Requests int
	// Outcomes counts the requests by outcome, Hosts and Targets those without an
	// answer by host and by target.
	Outcomes, Hosts, Targets map[string]int

	firstMs, eventMs []int64
}

type windowKey struct {
	index int
	route string
}

// Windows collects requests by period and route.
type Windows struct {
	Length time.Duration
	byKey  map[windowKey]*Window
}

// Add adds a request.
func (w *Windows) Add(r *Request) {
	if w.byKey == nil {
		w.byKey = make(map[windowKey]*Window)
	}
	key := windowKey{index: int(r.EndedAt / w.Length), route: r.Route}
	v := w.byKey[key]
	if v == nil {
		v = &Window{Start: time.Duration(key.index) * w.Length, Route: r.Route, Outcomes: make(map[string]int), Hosts: make(map[string]int), Targets: make(map[string]int)}
		w.byKey[key] = v
	}
	v.add(r)
}

func (w *Window) add(r *Request) {
	w.Requests++
	w.Outcomes[r.Outcome]++
	if r.Outcome != "answered" {
		w.Hosts[r.Host]++
		if r.Target != "" {
			w.Targets[r.Target]++
		}
		return
	}
	if len(w.firstMs) < maxSamples {
		w.firstMs = append(w.firstMs, r.FirstMs)
	}
	if r.Events > 1 && len(w.eventMs) < maxSamples {
		w.eventMs = append(w.eventMs, max(r.TotalMs-r.FirstMs-r.KeepMs, 0)/int64(r.Events-1))
	}
}

// FirstMs returns a quantile of the time to the first byte, in milliseconds.
func (w *Window) FirstMs(q float64) int64 { return quantile(w.firstMs, q) }

// EventMs returns a quantile of the mean time between the events of a stream, in
// milliseconds; zero without streams.
func (w *Window) EventMs(q float64) int64 { return quantile(w.eventMs, q) }

// quantile returns the q quantile of a list, zero of an empty one.
func quantile(list []int64, q float64) int64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// Sorted returns the windows in the order of time and route.
func (w *Windows) Sorted() []*Window {
	list := make([]*Window, 0, len(w.byKey))
	for _, v := range w.byKey {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *Window) int { return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Route, b.Route)) })
	return list
}

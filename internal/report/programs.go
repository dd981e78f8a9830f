package report

import (
	"cmp"
	"slices"
	"time"
)

// maxPrograms limits the programs in memory. Requests of further ones count in the
// windows only.
const maxPrograms = 500_000

// Losses are the times that a program spent on what an idle fleet would not need, in
// milliseconds.
type Losses struct {
	// Reserve and Lookup are waits for the budget and for earlier turns, Place, Connect
	// and Wait those for a target, Keep those for a turn to be in the log.
	Reserve, Lookup, Place, Connect, Wait, Keep int64
	// Failed is the time of attempts without an answer.
	Failed int64
}

// Sum returns the sum of all losses.
func (l Losses) Sum() int64 {
	return l.Reserve + l.Lookup + l.Place + l.Connect + l.Wait + l.Keep + l.Failed
}

// Program is what the logs say of one program.
type Program struct {
	ID       string
	Route    string
	BegunAt  time.Duration
	EndedAt  time.Duration
	Requests int
	// Failed counts the requests without a successful answer.
	Failed int
	// LeftMs is the least time that the program had left at the end of a request;
	// negative if it was late.
	LeftMs int64
	// BeforeTargetMs is the time from the arrival of requests to their first byte less
	// the losses, StreamMs the time from there to their last byte.
	BeforeTargetMs, StreamMs int64
	Losses                   Losses
	// LastOutcome is the outcome of the last request, LastRequest its ID.
	LastOutcome, LastRequest string
}

// IsLate reports whether the program missed the time by which it should have ended.
func (p *Program) IsLate() bool { return p.LeftMs < 0 }

// IsAvoidable reports whether a late program would have been on time without its losses.
func (p *Program) IsAvoidable() bool { return p.IsLate() && p.LeftMs+p.Losses.Sum() >= 0 }

// Programs collects requests by program.
type Programs struct {
	byID map[string]*Program
	// Dropped counts the requests of programs beyond maxPrograms.
	Dropped int
}

// Add adds a request.
func (p *Programs) Add(r *Request) {
	if r.Program == "" {
		return
	}
	if p.byID == nil {
		p.byID = make(map[string]*Program)
	}
	g := p.byID[r.Program]
	if g == nil {
		if len(p.byID) >= maxPrograms {
			p.Dropped++
			return
		}
		g = &Program{ID: r.Program, Route: r.Route, BegunAt: r.begunAt(), LeftMs: r.FinishMs}
		p.byID[r.Program] = g
	}
	g.add(r)
}

func (p *Program) add(r *Request) {
	p.Requests++
	if begun := r.begunAt(); begun < p.BegunAt {
		p.BegunAt, p.Route = begun, r.Route
	}
	if r.EndedAt >= p.EndedAt {
		p.EndedAt, p.LastOutcome, p.LastRequest = r.EndedAt, r.Outcome, r.ID
	}
	p.LeftMs = min(p.LeftMs, r.FinishMs-r.TotalMs)
	if r.Outcome != "answered" {
		p.Failed++
		p.Losses.Failed += r.TotalMs
		return
	}
	if r.Events == 0 {
		// Calls of one program to services run in parallel, so that their times do not
		// add up.
		return
	}
	l := Losses{Reserve: r.ReserveMs, Lookup: r.LookupMs, Place: r.PlaceMs, Connect: r.ConnectMs, Wait: r.WaitMs}
	p.BeforeTargetMs += max(r.FirstMs-l.Sum(), 0)
	p.StreamMs += max(r.TotalMs-r.FirstMs-r.KeepMs, 0)
	p.Losses.Reserve += l.Reserve
	p.Losses.Lookup += l.Lookup
	p.Losses.Place += l.Place
	p.Losses.Connect += l.Connect
	p.Losses.Wait += l.Wait
	p.Losses.Keep += r.KeepMs
}

// Sorted returns the programs in the order of their begin.
func (p *Programs) Sorted() []*Program {
	list := make([]*Program, 0, len(p.byID))
	for _, g := range p.byID {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *Program) int { return cmp.Or(cmp.Compare(a.BegunAt, b.BegunAt), cmp.Compare(a.ID, b.ID)) })
	return list
}

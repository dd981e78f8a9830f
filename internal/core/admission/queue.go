package admission

import (
	"slices"
	"time"

	"github.com/google/btree"
)

const btreeDegree = 8

// idleOrganisationLimit is how many organisations without waiting calls are
// remembered.
const idleOrganisationLimit = 256

// Queue is a bounded queue of calls, fair across organisations. It is not safe
// for concurrent use.
type Queue struct {
	rank          Rank
	bound         int
	size          int
	fresh         int
	pushed        uint64
	virtual       float64
	organisations map[string]*organisation
	// backlog holds the organisations with waiting calls, least virtual time
	// first after sort.
	backlog []*organisation
}

type organisation struct {
	name    string
	weight  float64
	virtual float64
	items   *btree.BTreeG[*Item]
}

// NewQueue returns a queue that holds up to bound calls in the order of rank.
func NewQueue(bound int, rank Rank) *Queue {
	return &Queue{rank: rank, bound: bound, organisations: make(map[string]*organisation)}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.size }

// Fresh returns the number of waiting calls that IsFresh.
func (q *Queue) Deferred() int { return q.fresh }

// Push adds a call. If the queue is full, the call that is due last in the
// organisation with the most waiting calls per weight leaves instead and is
// returned; this can be the new call itself.
func (q *Queue) Push(i *Item) (displaced *Item) {
	q.pushed++
	i.order = q.pushed
	i.due = q.rank(i)
	f := q.organisation(i)
	if f.items.Len() == 0 {
		f.virtual = max(f.virtual, q.virtual)
		q.backlog = append(q.backlog, f)
	}
	f.items.ReplaceOrInsert(i)
	q.count(i, 1)
	if q.size <= q.bound {
		return nil
	}
	last, _ := q.longest().items.Max()
	q.Remove(last)
	return last
}

func (q *Queue) count(i *Item, n int) {
	q.size += n
	if i.IsDeferred() {
		q.fresh += n
	}
}

func (q *Queue) organisation(i *Item) *organisation {
	f := q.organisations[i.Organisation]
	if f == nil {
		q.forgetIdle()
		f = &organisation{name: i.Organisation, items: btree.NewG(btreeDegree, before)}
		q.organisations[i.Organisation] = f
	}
	f.weight = float64(max(i.Weight, 1))
	return f
}

func (q *Queue) forgetIdle() {
	if len(q.organisations) < idleOrganisationLimit+len(q.backlog) {
		return
	}
	for name, f := range q.organisations {
		if f.items.Len() == 0 && f.virtual <= q.virtual {
			delete(q.organisations, name)
		}
	}
}

func (q *Queue) longest() *organisation {
	return slices.MaxFunc(q.backlog, func(a, b *organisation) int {
		x := float64(a.items.Len()) / a.weight
		y := float64(b.items.Len()) / b.weight
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}

// Remove takes a call out unserved. It returns false if it is not there.
func (q *Queue) Remove(i *Item) bool {
	f := q.organisations[i.Organisation]
	if f == nil {
		return false
	}
	if _, ok := f.items.Delete(i); !ok {
		return false
	}
	q.count(i, -1)
	if f.items.Len() == 0 {
		at := slices.Index(q.backlog, f)
		q.backlog = slices.Delete(q.backlog, at, at+1)
	}
	return true
}

// Each calls visit in the order of service, for at most perOrganisation calls
// of each organisation, until visit returns false. The queue must not change
// meanwhile.
func (q *Queue) Each(perOrganisation int, visit func(*Item) bool) {
	q.sortBacklog()
	for _, f := range q.backlog {
		left := perOrganisation
		more := true
		f.items.Ascend(func(i *Item) bool {
			more = visit(i)
			left--
			return more && left > 0
		})
		if !more {
			return
		}
	}
}

// Take removes a call that is served and charges its organisation with its
// expected service time.
func (q *Queue) Take(i *Item) {
	if !q.Remove(i) {
		return
	}
	f := q.organisations[i.Organisation]
	q.virtual = max(q.virtual, f.virtual)
	f.virtual += i.ServiceTime.Seconds() / f.weight
}

// Charge corrects an organisation's account once the true service time is
// known.
func (q *Queue) Charge(name string, delta time.Duration) {
	if f := q.organisations[name]; f != nil {
		f.virtual += delta.Seconds() / f.weight
	}
}

// Ahead returns how many calls would be served before i, which need not be in
// the queue: those of its organisation that are due earlier, and as many of
// each other organisation as its weight entitles it to.
func (q *Queue) Ahead(i *Item) int {
	probe := *i
	probe.due = q.rank(i)
	probe.order = q.pushed + 1
	own := 0
	weight := float64(max(i.Weight, 1))
	if f := q.organisations[i.Organisation]; f != nil {
		f.items.AscendLessThan(&probe, func(*Item) bool { own++; return true })
	}
	total := own
	for _, f := range q.backlog {
		if f.name == i.Organisation {
			continue
		}
		entitled := float64(own+1) * f.weight / weight
		total += min(f.items.Len(), int(entitled))
	}
	return total
}

func (q *Queue) sortBacklog() {
	slices.SortFunc(q.backlog, func(a, b *organisation) int {
		switch {
		case a.virtual < b.virtual:
			return -1
		case a.virtual > b.virtual:
			return 1
		}
		return 0
	})
}

package admission

import (
	"slices"
	"time"

	"github.com/google/btree"
)

const btreeDegree = 8

// idleOrganisationLimit is the number of organisations without waiting calls from
// which on idle ones are dropped.
const idleOrganisationLimit = 256

// Queue is a bounded queue of calls with weighted fair queueing across organisations.
// It is not safe for concurrent use.
type Queue struct {
	rank          Rank
	limit         int
	size          int
	deferred      int
	pushed        uint64
	virtualTime   float64
	organisations map[string]*organisation
	// backlog holds the organisations with waiting calls. sortBacklog orders them by
	// virtual time, the lowest first.
	backlog []*organisation
}

type organisation struct {
	name        string
	weight      float64
	virtualTime float64
	items       *btree.BTreeG[*Item]
}

// NewQueue returns a queue of up to limit calls in the order of rank.
func NewQueue(limit int, rank Rank) *Queue {
	return &Queue{rank: rank, limit: limit, organisations: make(map[string]*organisation)}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.size }

// Deferred returns the number of waiting calls that are deferred.
func (q *Queue) Deferred() int { return q.deferred }

// Push adds a call. If the queue is full, it removes and returns the call that is due
// last in the organisation with the most waiting calls per weight. This may be the new
// call itself.
func (q *Queue) Push(i *Item) (displaced *Item) {
	q.pushed++
	i.order = q.pushed
	i.due = q.rank(i)
	o := q.organisation(i)
	if o.items.Len() == 0 {
		o.virtualTime = max(o.virtualTime, q.virtualTime)
		q.backlog = append(q.backlog, o)
	}
	o.items.ReplaceOrInsert(i)
	q.count(i, 1)
	if q.size <= q.limit {
		return nil
	}
	last, _ := q.mostBacklogged().items.Max()
	q.Remove(last)
	return last
}

func (q *Queue) count(i *Item, n int) {
	q.size += n
	if i.IsDeferred() {
		q.deferred += n
	}
}

func (q *Queue) organisation(i *Item) *organisation {
	o := q.organisations[i.Organisation]
	if o == nil {
		q.dropIdleOrganisations()
		o = &organisation{name: i.Organisation, items: btree.NewG(btreeDegree, isDueBefore)}
		q.organisations[i.Organisation] = o
	}
	o.weight = float64(max(i.Weight, 1))
	return o
}

// dropIdleOrganisations drops organisations without waiting calls, if there are too
// many. Those whose virtual time is ahead of the queue's stay, since they have been
// charged in advance.
func (q *Queue) dropIdleOrganisations() {
	if len(q.organisations) < idleOrganisationLimit+len(q.backlog) {
		return
	}
	for name, o := range q.organisations {
		if o.items.Len() == 0 && o.virtualTime <= q.virtualTime {
			delete(q.organisations, name)
		}
	}
}

// mostBacklogged returns the organisation with the most waiting calls per weight.
func (q *Queue) mostBacklogged() *organisation {
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

// Remove removes a call that was not served. It returns false if the call is not in the
// queue.
func (q *Queue) Remove(i *Item) bool {
	o := q.organisations[i.Organisation]
	if o == nil {
		return false
	}
	if _, ok := o.items.Delete(i); !ok {
		return false
	}
	q.count(i, -1)
	if o.items.Len() == 0 {
		at := slices.Index(q.backlog, o)
		q.backlog = slices.Delete(q.backlog, at, at+1)
	}
	return true
}

// Each calls visit for up to perOrganisation calls of each organisation, in the order
// of service, until visit returns false. visit must not change the queue.
func (q *Queue) Each(perOrganisation int, visit func(*Item) bool) {
	q.sortBacklog()
	for _, o := range q.backlog {
		remaining := perOrganisation
		more := true
		o.items.Ascend(func(i *Item) bool {
			more = visit(i)
			remaining--
			return more && remaining > 0
		})
		if !more {
			return
		}
	}
}

// Take removes a call that is about to be served and charges its organisation for the
// expected service time.
func (q *Queue) Take(i *Item) {
	if !q.Remove(i) {
		return
	}
	o := q.organisations[i.Organisation]
	q.virtualTime = max(q.virtualTime, o.virtualTime)
	o.virtualTime += i.ServiceTime.Seconds() / o.weight
}

// Charge corrects the charge of an organisation by the difference between the actual
// and the expected service time of a call.
func (q *Queue) Charge(name string, delta time.Duration) {
	if o := q.organisations[name]; o != nil {
		o.virtualTime += delta.Seconds() / o.weight
	}
}

// Ahead returns how many calls would be served before i: those of its organisation
// that are due earlier, and as many of each other organisation as its weight entitles
// it to. i need not be in the queue.
func (q *Queue) Ahead(i *Item) int {
	probe := *i
	probe.due = q.rank(i)
	probe.order = q.pushed + 1
	earlier := 0
	weight := float64(max(i.Weight, 1))
	if o := q.organisations[i.Organisation]; o != nil {
		o.items.AscendLessThan(&probe, func(*Item) bool { earlier++; return true })
	}
	total := earlier
	for _, o := range q.backlog {
		if o.name == i.Organisation {
			continue
		}
		entitled := float64(earlier+1) * o.weight / weight
		total += min(o.items.Len(), int(entitled))
	}
	return total
}

func (q *Queue) sortBacklog() {
	slices.SortFunc(q.backlog, func(a, b *organisation) int {
		switch {
		case a.virtualTime < b.virtualTime:
			return -1
		case a.virtualTime > b.virtualTime:
			return 1
		}
		return 0
	})
}

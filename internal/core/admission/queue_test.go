package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// next returns the call that is served next, and serves it.
func next(q *Queue) *Item {
	var first *Item
	q.Each(1, func(i *Item) bool { first = i; return false })
	if first != nil {
		q.Take(first)
	}
	return first
}

func TestOrderInsideAnOrganisation(t *testing.T) {
	is := is.New(t)
	q := NewQueue(10, Due)
	fresh := &Item{Organisation: "a", Arrived: start}
	longServed := &Item{Organisation: "a", Arrived: start, ProgramStarted: true, AttainedTokens: 64_000}
	lessServed := &Item{Organisation: "a", Arrived: start, ProgramStarted: true, AttainedTokens: 500}
	lowClass := &Item{Organisation: "a", Arrived: start, ProgramStarted: true, Class: 5}
	urgent := &Item{Organisation: "a", Arrived: start, ProgramStarted: true, Class: 5, ServiceTime: time.Second, Deadline: start.Add(2 * time.Second)}
	late := &Item{Organisation: "a", Arrived: start, Class: 5, ServiceTime: time.Second, Deadline: start.Add(2 * time.Second)}
	for _, i := range []*Item{late, lowClass, fresh, longServed, lessServed, urgent} {
		q.Push(i)
	}
	is.Equal(next(q), urgent)     // the deadline brings it forward
	is.Equal(next(q), lessServed) // least attained service first
	is.Equal(next(q), longServed) // under way before new
	is.Equal(next(q), lowClass)
	is.Equal(next(q), fresh)
	is.Equal(next(q), late) // a deadline does not bring a new program forward
	is.Equal(next(q), nil)
}

func TestFullQueueDisplacesTheLastOfTheLongestOrganisation(t *testing.T) {
	is := is.New(t)
	q := NewQueue(4, Due)
	var flood []*Item
	for n := range 4 {
		i := &Item{Organisation: "loud", Weight: 1, Arrived: start.Add(time.Duration(n) * time.Second)}
		flood = append(flood, i)
		is.Equal(q.Push(i), nil)
	}
	quiet := &Item{Organisation: "quiet", Weight: 1, Arrived: start.Add(time.Minute)}
	is.Equal(q.Push(quiet), flood[3])
	late := &Item{Organisation: "loud", Weight: 1, Arrived: start.Add(time.Hour)}
	is.Equal(q.Push(late), late) // refused itself
	is.Equal(q.Len(), 4)
}

// With two backlogged organisations the service is shared by weight, to within
// one call of each organisation.
func TestOrganisationsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(10_000, Due)
		weights := []int{rapid.IntRange(1, 5).Draw(t, "a"), rapid.IntRange(1, 5).Draw(t, "b")}
		for f, w := range weights {
			for n := range 400 {
				q.Push(&Item{Organisation: fmt.Sprint(f), Weight: w, ServiceTime: time.Second, Arrived: start.Add(time.Duration(n))})
			}
		}
		served := map[string]float64{}
		for range rapid.IntRange(1, 400).Draw(t, "served") {
			served[next(q).Organisation]++
		}
		gap := served["0"]/float64(weights[0]) - served["1"]/float64(weights[1])
		if gap > 1.001 || gap < -1.001 {
			t.Fatalf("served %v with weights %v", served, weights)
		}
	})
}

// A call of the worst rank is served once MaxPenalty has passed, whatever
// comes after it.
func TestNothingStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(1<<20, Due)
		worst := &Item{Organisation: "a", Class: 1000, AttainedTokens: 1 << 40, Arrived: start}
		q.Push(worst)
		now := start
		for {
			q.Push(&Item{Organisation: "a", Arrived: now, ProgramStarted: true})
			if next(q) == worst {
				return
			}
			if now.After(start.Add(MaxPenalty)) {
				t.Fatal("starved")
			}
			now = now.Add(time.Duration(rapid.IntRange(1000, 9000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

func TestQueueKeepsItsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 8).Draw(t, "bound")
		q := NewQueue(bound, Due)
		waiting := map[*Item]bool{}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				i := &Item{Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), Arrived: start}
				waiting[i] = true
				delete(waiting, q.Push(i))
			case 1:
				delete(waiting, next(q))
			case 2:
				for i := range waiting {
					if !q.Remove(i) || q.Remove(i) {
						t.Fatal("a waiting call is removed once")
					}
					delete(waiting, i)
					break
				}
			}
			if q.Len() != len(waiting) || q.Len() > bound {
				t.Fatalf("%d calls in the queue, %d expected", q.Len(), len(waiting))
			}
		}
	})
}

func TestAheadCountsOwnAndEntitled(t *testing.T) {
	is := is.New(t)
	q := NewQueue(100, Due)
	for range 50 {
		q.Push(&Item{Organisation: "loud", Weight: 1, Arrived: start})
	}
	is.Equal(q.Ahead(&Item{Organisation: "loud", Weight: 1, Arrived: start}), 50)
	is.Equal(q.Ahead(&Item{Organisation: "quiet", Weight: 1, Arrived: start}), 1)
}

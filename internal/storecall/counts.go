package storecall

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/juju/errors"

	"yuccausher/internal/port"
)

// purpose is what a call is for. There are a few topics and operations.
type purpose struct{ topic, op string }

// result is how a call ended.
type result int

const (
	// answered calls were carried out, refused ones were turned down for the rate of calls.
	answered result = iota
	refused
	// unavailable calls were turned down for another reason, or got no answer.
	unavailable
	// withheld calls were not sent because this host makes too many.
	withheld
	results
)

var resultNames = [results]string{"answered", "refused", "unavailable", "withheld"}

// resultOf returns the result of a call that was sent.
func resultOf(err error) result {
	var failed *port.SharedLogError
	switch {
	case err == nil:
		return answered
	case !errors.As(err, &failed):
		return unavailable
	case failed.Failure == port.LogThrottled:
		return refused
	case failed.Failure == port.LogTrimmed:
		return answered
	}
	return unavailable
}

// counts holds the calls of an interval.
type counts map[purpose]*[results]int

func (c counts) add(what purpose, r result) {
	n := c[what]
	if n == nil {
		n = new([results]int)
		c[what] = n
	}
	n[r]++
}

// fields returns the counts as the fields of a log line.
func (c counts) fields() []any {
	var fields []any
	keys := slices.SortedFunc(maps.Keys(c), func(a, b purpose) int {
		return cmp.Or(cmp.Compare(a.topic, b.topic), cmp.Compare(a.op, b.op))
	})
	for _, what := range keys {
		for r, n := range c[what] {
			if n > 0 {
				fields = append(fields, fmt.Sprintf("%s_%s_%s", what.topic, what.op, resultNames[r]), n)
			}
		}
	}
	return fields
}

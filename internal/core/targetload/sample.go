// Package targetload learns, from the requests of all hosts, how fast one run of a model
// engine is and how many requests at once it handles well. It sends no requests of its
// own and performs no I/O; the time is an argument.
package targetload

import "time"

// Sample is what one streamed request showed of its target.
type Sample struct {
	// First is the time from sending the request to its first event; zero if there was none.
	First time.Duration
	// Gap is the mean time between events; zero if it is not known.
	Gap time.Duration
	// Events is the number of events received.
	Events int
	// PromptTokens is the size of the prompt, CachedTokens the part of it that the target
	// had probably cached.
	PromptTokens, CachedTokens int64
	// InProgress is the number of other requests at the target when the request was sent.
	InProgress int
	// IsRefused is set if the target refused the request as full.
	IsRefused bool
}

const (
	// prefillTokensPerSecond is the rate at which an engine of speed 1 reads prompts: 100
	// tokens/ms, as the engines' description states.
	prefillTokensPerSecond = 100_000
	// MinEvents is the least number of events of which a mean gap is used. The error of a
	// mean is that of its first and last event divided by their number, so that a stall of
	// the host of one gap is below 15%.
	MinEvents = 8
)

// isTimed reports whether the sample states how fast the target was.
func (s Sample) isTimed() bool {
	return !s.IsRefused && s.Gap > 0 && s.First > 0 && s.Events >= MinEvents
}

// wait returns the part of the time to the first event that the size of the prompt does not
// explain, in seconds: requests wait in an engine whose memory is full.
func (s Sample) wait() float64 {
	prefill := float64(max(s.PromptTokens-s.CachedTokens, 0)) / prefillTokensPerSecond
	return max(s.First.Seconds()-prefill, 0)
}

// Estimate is what is known of a run of a target. The zero value means that nothing is.
type Estimate struct {
	// Limit is the number of requests at once that the target handles well; zero if not
	// known.
	Limit int
	// EventsPerSecond is the rate of events of a request alone at the target; zero if not
	// known. It compares targets of one service.
	EventsPerSecond float64
	// Age is the time since the latest sample.
	Age time.Duration
}

// IsKnown reports whether the estimate says anything.
func (e Estimate) IsKnown() bool { return e.Limit > 0 && e.EventsPerSecond > 0 }

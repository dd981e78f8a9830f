package standin

import (
	"time"

	"yuccausher/internal/port"
)

// The defaults of EngineOptions.
const (
	defaultKVTokens    = 200_000
	defaultConcurrency = 16
	defaultQueue       = 64
	defaultDeltaTokens = 4
	defaultRestart     = time.Second
	defaultKeep        = 10 * time.Minute
)

// EngineOptions sets up a model engine. Zero times mean none; other zero
// values take a default.
type EngineOptions struct {
	Name       string
	Model      string
	DataCentre string
	// KVTokens is the KV memory, Concurrency the bound of the running set
	// and Queue that of the waiting one.
	KVTokens    int64
	Concurrency int
	Queue       int
	// PrefillPerToken is the time for one token of the prompt that is not
	// cached, PerOutputToken the time between tokens of the output.
	PrefillPerToken time.Duration
	PerOutputToken  time.Duration
	// DeltaTokens is how many tokens one delta carries.
	DeltaTokens int64
	// RestartAfter is how long a crashed engine is down.
	RestartAfter time.Duration
	// KeepFinished is how long finished outputs and accounting are kept.
	KeepFinished time.Duration
	// EventDelay is how late cache events come, EventLoss the share of them,
	// from 0 to 1, that never comes, and ReportEvery the age at which the
	// load report is made anew.
	EventDelay  time.Duration
	EventLoss   float64
	ReportEvery time.Duration
	// ChecksFencing makes the engine refuse orders with an old epoch.
	ChecksFencing bool
	// Store keeps exported KV caches; engines may share one.
	Store *KVStore
	// OutputTokens replaces the drawn length of an output, before the cut at
	// the call's maximum.
	OutputTokens func(port.ModelCall) int64
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.KVTokens = orDefault(o.KVTokens, defaultKVTokens)
	o.Concurrency = orDefault(o.Concurrency, defaultConcurrency)
	o.Queue = orDefault(o.Queue, defaultQueue)
	o.DeltaTokens = orDefault(o.DeltaTokens, defaultDeltaTokens)
	o.RestartAfter = orDefault(o.RestartAfter, defaultRestart)
	o.KeepFinished = orDefault(o.KeepFinished, defaultKeep)
	if o.Store == nil {
		o.Store = NewKVStore()
	}
	return o
}

func orDefault[T comparable](value, other T) T {
	var zero T
	if value == zero {
		return other
	}
	return value
}

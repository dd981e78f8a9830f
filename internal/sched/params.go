// Package sched implements the scheduler of a host. It tracks the state of the
// targets, queues calls, and grants them targets. The decisions on admission, routing,
// limits, retention and retries are made by the core packages.
package sched

import (
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

// Params holds the dependencies and settings of a scheduler. Config, Engine and Self
// are required.
type Params struct {
	Config *config.Holder
	Engine port.Engine
	// HostList is the platform's list, which marks leaving targets. It may be nil.
	HostList port.HostList
	Self     port.Host
	// Members lists the hosts that share the targets; nil means one host.
	Members port.Members
	Metrics tally.Scope
	Log     logr.Logger
	// Seed makes the random choices reproducible; zero selects a random seed.
	Seed uint64
	// OnQuarantine is called once for each fingerprint that is quarantined, by this
	// host or by a notification, before a caller receives the refusal. It may block.
	OnQuarantine func(fingerprint uint64)
	// OnCrash is called for each mark that this host sets on content that was in
	// flight on a target when it crashed. It may block.
	OnCrash func(poison.Mark)
	// Variant replaces parts of the decisions, for experiments.
	Variant Variant
}

// Variant replaces parts of the decisions. The zero value replaces none.
type Variant struct {
	// Policy returns the routing policy of one group of targets.
	Policy func(*rand.Rand) routing.Policy
	// FirstCome orders calls by arrival only.
	FirstCome bool
	// Unlimited disables the host's concurrency limits for targets.
	Unlimited bool
}

const (
	// maxQueuedCalls is the maximum number of calls that wait for one model or
	// service.
	maxQueuedCalls = 1024
	// maxNewProgramWait is the longest expected wait with which a new program is
	// admitted.
	maxNewProgramWait = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a refusal, before
	// jitter.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxTrackedPrograms is the maximum number of programs whose cache locations are
	// tracked. It also bounds the started and the pausing programs that are tracked.
	maxTrackedPrograms = 16384
)

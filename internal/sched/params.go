// Package sched is the runtime of the decisions under load: it holds what this
// host knows of the targets, keeps that current, and grants calls their
// targets. The decisions themselves are in the core packages.
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

// Params holds what a scheduler is built from. Config, Engine and Self are
// required.
type Params struct {
	Config *config.Holder
	Engine port.Engine
	// HostList tells which targets are leaving; nil means no list.
	HostList port.HostList
	Self     port.Host
	// Members tells how many hosts share the targets; nil means one host.
	Members port.Members
	Metrics tally.Scope
	Log     logr.Logger
	// Seed fixes the random choices; zero draws a seed.
	Seed uint64
	// OnQuarantine is called once for each fingerprint that this host finds
	// or learns to be poisoned, before a caller hears of it. It may block.
	OnQuarantine func(fingerprint uint64)
	// OnCrash is called for each mark that this host sets on a content that
	// was in flight on a target when it crashed. It may block.
	OnCrash func(poison.Mark)
	// Variant replaces parts of the decisions, for comparison.
	Variant Variant
}

// Variant replaces parts of the decisions by others. The zero value is the
// product's own.
type Variant struct {
	// Policy makes the routing policy of a group of targets.
	Policy func(*rand.Rand) routing.Policy
	// FirstCome orders calls by their arrival alone.
	FirstCome bool
	// Unlimited sends calls to their targets without limits of this host.
	Unlimited bool
}

const (
	// queueBound is how many calls may wait for one model or service.
	maxQueuedCalls = 1024
	// maxNewWait is the longest expected wait with which a new program is
	// still admitted.
	maxNewProgramWait = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice to come back.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// beliefCapacity is how many programs' caches are remembered.
	maxTrackedPrograms = 16384
)

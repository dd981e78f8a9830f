package port

import (
	"context"
	"time"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/targetload"
)

// AdmitRequest asks the coordinator of a target to count a request.
type AdmitRequest struct {
	Target string
	// Lease identifies the request until it is finished.
	Lease uint64
	// Limit is the number of requests in progress from which on the request is not
	// admitted; zero admits it in any case.
	Limit int
	// TTL is how long the request counts if it is never finished; zero if it is not to be
	// counted at all.
	TTL time.Duration
	// Host identifies the process that asks; zero if it sends the request whatever the
	// answer.
	Host uint64
	// RateLimit is the newest that the host knows about the target's rate limit.
	RateLimit fleet.TargetLimit
	// Level is the urgency of the request; 0 is the most urgent.
	Level int
}

// AdmitReply is the answer of a coordinator.
type AdmitReply struct {
	occupancy.Reply
	// KnowsRateLimits is set if the coordinator regards rate limits. If IsDenied is set,
	// that of the target leaves no room for the request before RetryAfter has passed.
	KnowsRateLimits bool
	IsDenied        bool
	RetryAfter      time.Duration
	// RateLimits are that of the target and some of other targets.
	RateLimits []fleet.TargetLimit
	// Learned is what all hosts' requests have shown of the target.
	Learned Learned
}

// Learned is an estimate of a run of a target. Its zero value says nothing.
type Learned struct {
	// StartedAt tells runs of the target apart.
	StartedAt int64
	targetload.Estimate
}

// Observation is a sample of a run of a target. Its zero value says nothing.
type Observation struct {
	// StartedAt tells runs of the target apart.
	StartedAt int64
	targetload.Sample
}

// FinishRequest reports how an admitted request ended.
type FinishRequest struct {
	Target string
	Lease  uint64
	// Host identifies the process that reports.
	Host   uint64
	Result occupancy.Result
	// RateLimit is the newest that the host knows about the target's rate limit.
	RateLimit fleet.TargetLimit
	// Observation is what the request showed of the target's speed.
	Observation Observation
}

// OccupancyPeers is the client that reaches the coordinators of targets.
type OccupancyPeers interface {
	// Self returns the address of this host, Hosts those of the others.
	Self() string
	Hosts() []string
	// Admit and Finish return an error if the host could not be reached.
	Admit(ctx context.Context, host string, r AdmitRequest) (AdmitReply, error)
	Finish(ctx context.Context, host string, r FinishRequest) error
}

// OccupancyServer serves the hosts that send requests to targets of which this host is
// the coordinator.
type OccupancyServer interface {
	AdmitLocal(r AdmitRequest) AdmitReply
	FinishLocal(r FinishRequest)
}

package port

import (
	"context"
	"time"

	"yuccausher/internal/core/occupancy"
)

// AdmitRequest asks the coordinator of a target to count a request.
type AdmitRequest struct {
	Target string
	// Lease identifies the request until it is finished.
	Lease uint64
	// Limit is the number of requests in progress from which on the request is not
	// admitted; zero admits it in any case.
	Limit int
	// TTL is how long the request counts if it is never finished.
	TTL time.Duration
}

// FinishRequest reports how an admitted request ended.
type FinishRequest struct {
	Target string
	Lease  uint64
	// Host identifies the process that reports.
	Host   uint64
	Result occupancy.Result
}

// OccupancyPeers is the client that reaches the coordinators of targets.
type OccupancyPeers interface {
	// Self returns the address of this host, Hosts those of the others.
	Self() string
	Hosts() []string
	// Admit and Finish return an error if the host could not be reached.
	Admit(ctx context.Context, host string, r AdmitRequest) (occupancy.Reply, error)
	Finish(ctx context.Context, host string, r FinishRequest) error
}

// OccupancyServer serves the hosts that send requests to targets of which this host is
// the coordinator.
type OccupancyServer interface {
	AdmitLocal(r AdmitRequest) occupancy.Reply
	FinishLocal(r FinishRequest)
}

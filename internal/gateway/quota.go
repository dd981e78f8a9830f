package gateway

import (
	"context"
	"time"
)

// OrganisationLimit is what an organisation may send over all hosts together.
type OrganisationLimit struct {
	// PerSecond is in requests per second; zero means that there is no limit. Burst is in
	// requests.
	PerSecond, Burst float64
	// Version is that of the configuration that states the limit.
	Version int64
}

// Admission is a request that was counted against the limit of its organisation.
type Admission interface {
	// Cancel takes the request back, if the system itself refuses it before a target may have
	// run it. It must be called at most once.
	Cancel()
}

// Quotas decides whether a request of an organisation is within its limit.
type Quotas interface {
	// Admit counts a request. If it returns a *QuotaExceededError, the request must not run. It returns
	// the error of ctx if that ends first; the request is not counted then.
	Admit(ctx context.Context, organisation string, limit OrganisationLimit) (Admission, error)
}

// QuotaExceededError reports that a request is over the limit of its organisation.
type QuotaExceededError struct {
	Organisation string
	// RetryAfter is the time after which there is room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuotaExceededError) Error() string {
	return "organisation " + e.Organisation + " is over its limit"
}

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
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

// admit counts the request against the limit of its organisation. It returns false after it has ended
// the request. A request that another host has passed on was counted there, unless that host does not
// know organisations.
func (j *job) admit(ctx context.Context) bool {
	if j.g.quotas == nil || j.organisation == nil || j.sender.isHost && j.sender.IsIdentified {
		return true
	}
	defer since(&j.times.quota, time.Now())
	o := j.organisation
	admission, err := j.g.quotas.Admit(ctx, o.Name, OrganisationLimit{PerSecond: o.RatePerSecond, Burst: o.Burst, Version: j.tableVersion})
	if err == nil {
		j.admission = admission
		return true
	}
	var exceeded *QuotaExceededError
	if errors.As(err, &exceeded) {
		j.refuse(refusal{status: http.StatusTooManyRequests, reason: "over_limit", cause: err, retryAfter: exceeded.RetryAfter})
		return false
	}
	j.cause = err
	j.finishUnanswered(ctx)
	return false
}

// settleAdmission takes back the count of a request that no target can have run. That is known of a
// request that another host has taken only if its answer is a promise.
func (j *job) settleAdmission() {
	if j.admission != nil && len(j.ranAt) == 0 && (j.handedTo == "" || isPromise(j.status)) {
		j.admission.Cancel()
	}
}

package owner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// programBuckets are the buckets for the time from a program's opening to its end.
var programBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 24)

// recordLatency records the time from a program's opening to its end. Only the
// owner records it. The caller holds p.mu.
func (p *partitionState) recordLatency(g *ledger.Program) {
	if !p.held() || g.EndedAt.IsZero() {
		return
	}
	p.service.params.Metrics.Histogram("program_latency", programBuckets).RecordDuration(g.EndedAt.Sub(g.OpenedAt))
}

// countFault counts a failed call by its type.
func (s *Service) countFault(err error) {
	name := "not_owner"
	if f, ok := fault.As(err); ok {
		name = string(f.Type)
	}
	s.params.Metrics.Tagged(map[string]string{"type": name}).Counter("call_failures").Inc(1)
}

// countRetry counts a repeated dispatch by its reason.
func (s *Service) countRetry(reason port.Failure) {
	s.params.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("call_retries").Inc(1)
}

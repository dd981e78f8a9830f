package owner

import (
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// countFault counts a failed call by its type.
func (s *Service) countFault(err error) {
	name := "not_owner"
	if f, ok := fault.As(err); ok {
		name = string(f.Type)
	}
	s.p.Metrics.Tagged(map[string]string{"type": name}).Counter("call_failures").Inc(1)
}

// countRetry counts a repeated dispatch by its reason.
func (s *Service) countRetry(reason port.Failure) {
	s.p.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("call_retries").Inc(1)
}

package standin

import "yuccausher/internal/port"

// Reason says why a stand-in failed a request.
type Reason string

// The reasons of the stand-ins.
const (
	ReasonDown           Reason = "down"
	ReasonLate           Reason = "last moment has passed"
	ReasonLostAnswer     Reason = "answer lost"
	ReasonRateLimit      Reason = "rate limit"
	ReasonNoRecords      Reason = "no records"
	ReasonCrashed        Reason = "crashed"
	ReasonQueueFull      Reason = "queue full"
	ReasonLeaving        Reason = "leaving"
	ReasonCancelled      Reason = "cancelled"
	ReasonUnknownTarget  Reason = "no target of that name"
	ReasonUnknownRequest Reason = "no request of that ID"
	ReasonUnknownProgram Reason = "no KV cache of that program"
	ReasonUnknownOrder   Reason = "no order of that kind"
	ReasonOtherProgram   Reason = "request ID belongs to another program"
	ReasonOtherModel     Reason = "model not served"
	ReasonOtherService   Reason = "service not served"
	ReasonTooLong        Reason = "prompt and output exceed the KV memory"
	ReasonNoOutput       Reason = "max tokens below one"
	ReasonOldEpoch       Reason = "old fencing number"
	ReasonOtherAnswer    Reason = "answer belongs to another request"
)

// Error implements error.
func (r Reason) Error() string { return "stand-in: " + string(r) }

func targetError(target string, failure port.Failure, cause error) *port.TargetError {
	return &port.TargetError{Target: target, Failure: failure, Cause: cause}
}

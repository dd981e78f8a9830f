package owner

import (
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// retryAfter is the retry delay advised with a transient refusal.
const retryAfter = 500 * time.Millisecond

// VerdictError reports that a record was not applied, with the verdict on it.
type VerdictError struct{ Verdict ledger.Verdict }

// Error implements error.
func (e *VerdictError) Error() string { return "record is " + string(e.Verdict) }

func verdictError(r *pending) error {
	switch r.verdict {
	case ledger.Applied:
		return nil
	case ledger.Void:
		return &port.NotOwnerError{Partition: r.rec.Partition}
	}
	return &VerdictError{Verdict: r.verdict}
}

func unknownProgram() *fault.Fault {
	return fault.New(fault.UnknownProgram, fault.NotRun, "no such program is known")
}

func logUnavailable(run fault.Run) *fault.Fault {
	f := fault.New(fault.LogUnavailable, run, "the log did not take a record in time")
	return f.WithRetryAfter(retryAfter)
}

func timedOut(run fault.Run) *fault.Fault {
	return fault.New(fault.Timeout, run, "no outcome in time").WithRetryAfter(retryAfter)
}

func outcomeUnknown() *fault.Fault {
	return fault.New(fault.OutcomeUnknown, fault.Unknown, "the call left and its outcome can't be told")
}

func seqConflict(format string, args ...any) *fault.Fault {
	return fault.New(fault.SeqConflict, fault.NotRun, format, args...)
}

func invalid(path, message string) *fault.Fault {
	f := fault.New(fault.InvalidRequest, fault.NotRun, "the request is not valid")
	f.Fields = []fault.Field{{Path: path, Message: message}}
	return f
}

package poison

import (
	"time"

	"yuccausher/internal/gen/quarantine"
)

// ToWire returns the message of a mark, with the name of the host that detected the
// crash.
func ToWire(m Mark, host string) *quarantine.Crash {
	return &quarantine.Crash{Fingerprint: m.Fingerprint, Target: m.Target, Run: m.Run, SeenAt: uint64(m.At), Host: host}
}

// FromWire returns the mark of a message.
func FromWire(c *quarantine.Crash) Mark {
	return Mark{Fingerprint: c.GetFingerprint(), Target: c.GetTarget(), Run: c.GetRun(), At: int64(c.GetSeenAt())}
}

// ReportToWire returns the message of a report of a host.
func ReportToWire(r Report, host string) *quarantine.ExamineRequest {
	m := &quarantine.ExamineRequest{Host: host, Target: r.Target, Run: r.Run}
	for _, i := range r.Interruptions {
		m.Interruptions = append(m.Interruptions, &quarantine.Interruption{Fingerprint: i.Fingerprint, AgeMs: i.Age.Milliseconds(), Unframed: i.IsUnframed})
	}
	return m
}

// maxReportedAge limits the age of an interruption that another host reports.
const maxReportedAge = time.Hour

// ReportFromWire returns the report of a message.
func ReportFromWire(m *quarantine.ExamineRequest) Report {
	r := Report{Target: m.GetTarget(), Run: m.GetRun()}
	for _, i := range m.GetInterruptions() {
		age := time.Duration(min(max(i.GetAgeMs(), 0), maxReportedAge.Milliseconds())) * time.Millisecond
		r.Interruptions = append(r.Interruptions, Interruption{Fingerprint: i.GetFingerprint(), Age: age, IsUnframed: i.GetUnframed()})
	}
	return r
}

// FindingToWire returns the message of a finding.
func FindingToWire(f Finding) *quarantine.ExamineReply {
	states := map[State]quarantine.State{
		Alive:    quarantine.State_STATE_ALIVE,
		Refused:  quarantine.State_STATE_REFUSED,
		Silent:   quarantine.State_STATE_SILENT,
		Replaced: quarantine.State_STATE_REPLACED,
	}
	return &quarantine.ExamineReply{State: states[f.State], NextTarget: f.NextTarget, NextRun: f.NextRun, SeenAt: uint64(f.SeenAt)}
}

// FindingFromWire returns the finding of a message. States of later releases are Unknown.
func FindingFromWire(m *quarantine.ExamineReply) Finding {
	states := map[quarantine.State]State{
		quarantine.State_STATE_ALIVE:    Alive,
		quarantine.State_STATE_REFUSED:  Refused,
		quarantine.State_STATE_SILENT:   Silent,
		quarantine.State_STATE_REPLACED: Replaced,
	}
	return Finding{State: states[m.GetState()], NextTarget: m.GetNextTarget(), NextRun: m.GetNextRun(), SeenAt: int64(m.GetSeenAt())}
}

package poison

import (
	"time"

	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/quarantine"
)

// ToWire returns the message of a mark, with the name of the host that detected the
// crash.
func ToWire(m Mark, host string) *quarantine.Crash {
	c := &quarantine.Crash{Fingerprint: m.Fingerprint, Target: m.Target, Run: m.Run, SeenAt: uint64(m.At), Host: host}
	if m.Kind != Content {
		c.Kind = proto.Uint32(uint32(m.Kind))
	}
	return c
}

// FromWire returns the mark of a message.
func FromWire(c *quarantine.Crash) Mark {
	return Mark{Fingerprint: c.GetFingerprint(), Kind: Kind(c.GetKind()), Target: c.GetTarget(), Run: c.GetRun(), At: int64(c.GetSeenAt())}
}

// ReportToWire returns the message of a report of a host.
func ReportToWire(r Report, host string) *quarantine.ExamineRequest {
	m := &quarantine.ExamineRequest{Host: host, Target: r.Target, Run: r.Run}
	for _, i := range r.Interruptions {
		w := &quarantine.Interruption{Fingerprint: i.Fingerprint, AgeMs: i.Age.Milliseconds(), Unframed: i.IsUnframed}
		for _, f := range i.Features {
			w.Features = append(w.Features, &quarantine.Feature{Kind: uint32(f.Kind), Fingerprint: f.Fingerprint})
		}
		m.Interruptions = append(m.Interruptions, w)
	}
	return m
}

// maxReportedAge limits the age of an interruption that another host reports.
const maxReportedAge = time.Hour

// maxReportedFeatures limits the features of an interruption that another host reports: twice
// as many as there are kinds.
const maxReportedFeatures = 10

// ReportFromWire returns the report of a message.
func ReportFromWire(m *quarantine.ExamineRequest) Report {
	r := Report{Target: m.GetTarget(), Run: m.GetRun()}
	for _, i := range m.GetInterruptions() {
		age := time.Duration(min(max(i.GetAgeMs(), 0), maxReportedAge.Milliseconds())) * time.Millisecond
		interruption := Interruption{Fingerprint: i.GetFingerprint(), Age: age, IsUnframed: i.GetUnframed()}
		for _, f := range i.GetFeatures()[:min(len(i.GetFeatures()), maxReportedFeatures)] {
			interruption.Features = append(interruption.Features, Feature{Kind: Kind(f.GetKind()), Fingerprint: f.GetFingerprint()})
		}
		r.Interruptions = append(r.Interruptions, interruption)
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

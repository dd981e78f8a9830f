package poison

import "yuccausher/internal/gen/quarantine"

// ToWire returns the message of a mark, with the name of the host that detected the
// crash.
func ToWire(m Mark, host string) *quarantine.Crash {
	return &quarantine.Crash{Fingerprint: m.Fingerprint, Target: m.Target, Run: m.Run, SeenAt: uint64(m.At), Host: host}
}

// FromWire returns the mark of a message.
func FromWire(c *quarantine.Crash) Mark {
	return Mark{Fingerprint: c.GetFingerprint(), Target: c.GetTarget(), Run: c.GetRun(), At: int64(c.GetSeenAt())}
}

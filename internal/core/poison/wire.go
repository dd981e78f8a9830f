package poison

import "yuccausher/internal/gen/quarantine"

// ToWire returns a mark as hosts store and send it, with the name of the host that made
// it.
func ToWire(m Mark, host string) *quarantine.Crash {
	return &quarantine.Crash{Fingerprint: m.Fingerprint, Target: m.Target, Run: m.Run, SeenAt: uint64(m.At), Host: host}
}

// FromWire returns a mark that was stored or sent.
func FromWire(c *quarantine.Crash) Mark {
	return Mark{Fingerprint: c.GetFingerprint(), Target: c.GetTarget(), Run: c.GetRun(), At: int64(c.GetSeenAt())}
}

package quarantine

import (
	"time"

	"yuccausher/internal/core/poison"
)

// sharedLog is the value of the host key in log lines about marks that the log no longer has.
const sharedLog = "shared log"

// Blocks returns a quarantined feature of a request, if it has one: requests with it must no
// longer run. It calls features, which returns all of them, only while some feature is
// quarantined.
func (s *Service) Blocks(features func() []poison.Feature) (poison.Feature, bool) {
	if s.quarantined.Load() == 0 {
		return poison.Feature{}, false
	}
	list := features()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range list {
		if s.evidence.Verdict(f.Fingerprint) == poison.Quarantined {
			return f, true
		}
	}
	return poison.Feature{}, false
}

// RecordSuccess clears content of suspicion, at all hosts, after target has answered it in
// full. It calls fingerprint only while some feature is under suspicion. It returns the number
// of marks cleared.
func (s *Service) RecordSuccess(fingerprint func() uint64, target string) int {
	return s.RecordSuccessOf(func() []poison.Feature { return []poison.Feature{{Fingerprint: fingerprint()}} }, target)
}

// RecordSuccessOf clears all features of a request as RecordSuccess does. A path, program or
// session is also released from quarantine: its requests do not crash targets by it alone.
func (s *Service) RecordSuccessOf(features func() []poison.Feature, target string) int {
	if s.suspects.Load() == 0 && s.quarantined.Load() == 0 {
		return 0
	}
	list := features()
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, f := range list {
		marks := s.evidence.Answered(f.Fingerprint)
		if len(marks) == 0 {
			continue
		}
		total += len(marks)
		s.metrics.cleared.Inc(1)
		s.log.Info("Content was cleared by a full answer.", "content", formatFingerprint(f.Fingerprint), "feature", f.Kind.String(),
			"target", target, "crashes", len(marks))
		s.unshared = without(s.unshared, marks)
		s.relayed = without(s.relayed, marks)
		s.cleared = s.dropOldest(append(s.cleared, marks...))
	}
	if total > 0 {
		s.assess(localHost)
		s.signal()
	}
	return total
}

// assess decides anew which features are quarantined, and logs each change with the evidence.
// host is where the latest evidence is from. The caller holds the lock.
func (s *Service) assess(host string) {
	for _, r := range s.evidence.Assess() {
		text := "Content was released from quarantine; other features explain its crashes."
		switch {
		case r.IsQuarantined:
			s.metrics.quarantined.Inc(1)
			text = "Content was quarantined."
		case r.Crashes < maxCrashes:
			text = "Content was released from quarantine; too few crashes are left."
		}
		now := time.Now()
		s.log.Info(text, "content", formatFingerprint(r.Fingerprint), "feature", r.Kind.String(), "host", host,
			"crashes", r.Crashes, "unexplained", r.Unexplained, "answers", r.Answers,
			"first_age_ms", now.Sub(time.Unix(0, r.First)).Milliseconds(), "last_age_ms", now.Sub(time.Unix(0, r.Last)).Milliseconds())
	}
	suspects, quarantined := s.evidence.Len()
	s.suspects.Store(int64(suspects))
	s.quarantined.Store(int64(quarantined))
}

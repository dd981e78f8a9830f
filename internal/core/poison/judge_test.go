package poison

import "slices"

// evidenceJudge judges by all features.
type evidenceJudge struct{ *Evidence }

func newJudge() judge { return evidenceJudge{NewEvidence(replayLimit)} }

func (j evidenceJudge) refuses(features []Feature) bool {
	return slices.ContainsFunc(features, func(f Feature) bool { return j.Verdict(f.Fingerprint) == Quarantined })
}

func (j evidenceJudge) crashed(marks []Mark) {
	for _, m := range marks {
		j.Add(m)
	}
	j.Assess()
}

func (j evidenceJudge) answered(features []Feature) []Mark {
	var cleared []Mark
	for _, f := range features {
		cleared = append(cleared, j.Answered(f.Fingerprint)...)
	}
	j.Assess()
	return cleared
}

func (j evidenceJudge) remove(m Mark) {
	j.Remove(m.Fingerprint, func(known Mark) bool { return known.CrashKey() == m.CrashKey() })
	j.Assess()
}

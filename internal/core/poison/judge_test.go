package poison

// registryJudge judges by exact content alone.
type registryJudge struct{ *Registry }

func newJudge() judge { return registryJudge{NewRegistry(replayLimit)} }

func (j registryJudge) refuses(features []Feature) bool {
	return j.Verdict(features[0].Fingerprint) == Quarantined
}

func (j registryJudge) crashed(marks []Mark) {
	for _, m := range marks {
		if m.Kind == Content {
			j.RecordCrash(m)
		}
	}
}

func (j registryJudge) answered(features []Feature) []Mark { return j.Clear(features[0].Fingerprint) }

func (j registryJudge) remove(m Mark) {
	j.Remove(m.Fingerprint, func(known Mark) bool { return known.CrashKey() == m.CrashKey() })
}

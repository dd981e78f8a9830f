package handover

import "time"

// View is what a host decides on requests by.
type View struct {
	// Configuration is the version of its configuration; zero for a host of an earlier build, which does not
	// state it.
	Configuration int64
	// TargetsAge is how long ago it has read the targets. HasTargets is unset if it does not state that.
	TargetsAge time.Duration
	HasTargets bool
}

// IsOutdated reports whether a host with the view must not decide on a request in place of the sender. Its configuration may
// not be older, and its view of the targets not by more than maxLag. Of a sender that states no version a request is
// taken only by a host that has read the targets within maxLag, and so reaches the store by itself.
func (v View) IsOutdated(sender View, maxLag time.Duration) bool {
	lag := v.TargetsAge
	if sender.HasTargets && sender.Configuration > 0 {
		lag -= sender.TargetsAge
	}
	return v.Configuration < sender.Configuration || !v.HasTargets || lag > maxLag
}

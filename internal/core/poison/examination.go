package poison

import "time"

// Interruption is a request that a target did not answer in full, as hosts report it to each
// other.
type Interruption struct {
	// Fingerprint is that of its content, Features are its other features.
	Fingerprint uint64
	Features    []Feature
	// Age is how long ago the request ended.
	Age time.Duration
	// IsUnframed is set if the answer ended with its connection, which it also does if it is
	// complete.
	IsUnframed bool
}

// Report asks a host to find out whether a target has crashed.
type Report struct {
	// Target is the ID of the target. Run identifies its run; zero if it is not known.
	Target        string
	Run           int64
	Interruptions []Interruption
}

// State is what a host has found out about a run of a target.
type State int

// The states of a run.
const (
	// Unknown means that the host can't tell: it reaches no other target either.
	Unknown State = iota
	// Alive targets accept connections.
	Alive
	// Refused means that the target refuses connections, Silent that it accepts none in time.
	// The host reaches other targets.
	Refused
	Silent
	// Replaced means that another run has started in its place.
	Replaced
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"unknown", "alive", "refused", "silent", "replaced"}[s]
}

// IsCertain reports whether the finding of a single host decides. A host that gets no connection in
// time may have lost its path to the target.
func (s State) IsCertain() bool { return s != Unknown && s != Silent }

// Finding is the result of an examination.
type Finding struct {
	State State
	// NextTarget and NextRun name the run that has replaced the target.
	NextTarget string
	NextRun    int64
	// SeenAt is the time of the crash marks that the finding has led to, in nanoseconds since
	// 1970, so that two hosts that count one crash make the same marks.
	SeenAt int64
}

package membership

import "time"

// Settings are the times and bounds of the protocol.
type Settings struct {
	// Interval is the time between heartbeats to a neighbour.
	Interval time.Duration
	// Neighbours is how many hosts on each side of the ring watch a host.
	Neighbours int
	// SuspectAfter is the silence after which a host is probed.
	SuspectAfter time.Duration
	// ProbeInterval is the time between probes of a suspect.
	ProbeInterval time.Duration
	// IndirectAfter is the silence after which others are asked to reach a
	// suspect.
	IndirectAfter time.Duration
	// DeadAfter is the silence, as far as the watchers can tell together,
	// after which a host is dead.
	DeadAfter time.Duration
	// WatchLeast is how long a host that has just become a watcher, or was
	// paused, listens before it declares a death.
	MinWatch time.Duration
	// ScanInterval is the most time between two looks at the neighbours.
	ScanInterval time.Duration
	// StallLeast is the delay of a tick that counts as a pause of this host.
	MinStall time.Duration
	// FlushDelay gathers urgent rumours; FlushRounds and Fanout are how often
	// and to how many hosts they are pushed.
	FlushDelay  time.Duration
	FlushRounds int
	Fanout      int
	// MaxRumours bounds the rumours of one message.
	MaxUpdates int
	// SyncRows bounds the rows of one message to a host with another table,
	// SyncRate the rows a second to all of them, and SyncBurst the rows that
	// may go at once after a time without any.
	SyncRows  int
	SyncRate  int
	SyncBurst int
	// RejoinInterval is the time between attempts to reach a host that is
	// taken for dead or is only known from the host list.
	RejoinInterval time.Duration
	// JoinQuiet is how long a new host passes no joins on.
	JoinQuietPeriod time.Duration
	// ForgetAfter is how long a dead host is remembered.
	ForgetAfter time.Duration
}

// watchGrace is how much silence a new watcher takes for granted: it suspects
// a member that it has not heard soon after it began to listen.
func (s Settings) watchGrace() time.Duration { return max(0, s.SuspectAfter-s.Interval-s.ScanInterval) }

// Defaults returns the settings that are shipped.
func Defaults() Settings {
	return Settings{
		Interval:        400 * time.Millisecond,
		Neighbours:      2,
		SuspectAfter:    1200 * time.Millisecond,
		ProbeInterval:   200 * time.Millisecond,
		IndirectAfter:   2 * time.Second,
		DeadAfter:       2500 * time.Millisecond,
		MinWatch:        time.Second,
		ScanInterval:    100 * time.Millisecond,
		MinStall:        150 * time.Millisecond,
		FlushDelay:      10 * time.Millisecond,
		FlushRounds:     3,
		Fanout:          3,
		MaxUpdates:      8,
		SyncRows:        64,
		SyncRate:        32,
		SyncBurst:       512,
		RejoinInterval:  2 * time.Second,
		JoinQuietPeriod: 5 * time.Second,
		ForgetAfter:     10 * time.Minute,
	}
}

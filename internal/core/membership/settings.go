package membership

import "time"

// Settings are the durations and limits of the protocol.
type Settings struct {
	// Interval is the time between two heartbeats to a neighbour.
	Interval time.Duration
	// Neighbours is the number of hosts on each side of a host on the ring that
	// watch it.
	Neighbours int
	// SuspectAfter is the time without contact after which a host is suspected and
	// probed.
	SuspectAfter time.Duration
	// ProbeInterval is the time between two probes of a suspect.
	ProbeInterval time.Duration
	// IndirectAfter is the time without contact after which other hosts are asked
	// to probe a suspect.
	IndirectAfter time.Duration
	// DeadAfter is the time without contact with any host, as far as the watchers
	// know from each other, after which a host is declared dead.
	DeadAfter time.Duration
	// MinWatch is the minimum time that a host watches a member before it declares
	// it dead. It starts anew after a pause of the watching host.
	MinWatch time.Duration
	// ScanInterval is the maximum time between two checks of the watched
	// neighbours.
	ScanInterval time.Duration
	// MinStall is the minimum delay of a tick that counts as a pause of this host.
	MinStall time.Duration
	// FlushDelay is the time for which urgent updates are batched before they are
	// pushed. FlushRounds is the number of pushes, Fanout the number of hosts per
	// push.
	FlushDelay  time.Duration
	FlushRounds int
	Fanout      int
	// MaxUpdates is the maximum number of queued updates in one message.
	MaxUpdates int
	// SyncRows is the maximum number of rows in one reply to a host whose table
	// differs. SyncRate is the maximum rate of such rows to all hosts, in rows per
	// second, and SyncBurst the maximum burst, in rows.
	SyncRows  int
	SyncRate  int
	SyncBurst int
	// RejoinInterval is the time between attempts to reach a host that is
	// considered dead or is known only from the host list.
	RejoinInterval time.Duration
	// JoinQuietPeriod is how long a new host does not disseminate members that it
	// learns from updates.
	JoinQuietPeriod time.Duration
	// ForgetAfter is how long a dead host stays in the table.
	ForgetAfter time.Duration
}

// watchGrace is the silence that a new watcher assumes before it started watching.
// It makes the watcher suspect a member soon, after one heartbeat interval and one
// scan interval without contact.
func (s Settings) watchGrace() time.Duration { return max(0, s.SuspectAfter-s.Interval-s.ScanInterval) }

// Defaults returns the default settings.
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

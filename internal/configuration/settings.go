package configuration

import (
	"time"

	"yuccausher/internal/core/config"
)

// Settings are the intervals and time limits of a Service. Zero values are replaced by
// defaults.
type Settings struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// ReadWait is how long one read of the log waits for new records.
	ReadWait time.Duration
	// MinRetryDelay and MaxRetryDelay bound the pause after a failed log call.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// PublishTimeout bounds one publication.
	PublishTimeout time.Duration
	// PeerInterval is the time between checks of the peers' versions. PeerGrace is how
	// long a host may stay behind a peer before it asks one. PeerTimeout bounds one
	// request to a peer.
	PeerInterval time.Duration
	PeerGrace    time.Duration
	PeerTimeout  time.Duration
	// CopyInterval is the time between checks of the age of the newest copy.
	CopyInterval time.Duration
	// CopySettle is the maximum time that a version remains without an in-sequence
	// record.
	CopySettle time.Duration
}

const (
	defaultRetention      = 24 * time.Hour
	defaultReadWait       = 5 * time.Second
	defaultMinRetryDelay  = 100 * time.Millisecond
	defaultMaxRetryDelay  = 2 * time.Second
	defaultPublishTimeout = 5 * time.Second
	defaultPeerInterval   = time.Second
	defaultPeerGrace      = 3 * time.Second
	defaultPeerTimeout    = 2 * time.Second
	defaultCopyInterval   = 30 * time.Second
	defaultCopySettle     = 10 * time.Second
)

func (s Settings) withDefaults() Settings {
	orDefault(&s.Retention, defaultRetention)
	orDefault(&s.ReadWait, defaultReadWait)
	orDefault(&s.MinRetryDelay, defaultMinRetryDelay)
	orDefault(&s.MaxRetryDelay, defaultMaxRetryDelay)
	orDefault(&s.PublishTimeout, defaultPublishTimeout)
	orDefault(&s.PeerInterval, defaultPeerInterval)
	orDefault(&s.PeerGrace, defaultPeerGrace)
	orDefault(&s.PeerTimeout, defaultPeerTimeout)
	orDefault(&s.CopyInterval, min(defaultCopyInterval, s.Retention/20))
	orDefault(&s.CopySettle, min(defaultCopySettle, s.Retention/4))
	return s
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func (s Settings) copyPlan() config.CopyPlan {
	return config.CopyPlan{Retention: s.Retention, Settle: s.CopySettle, Stagger: s.CopyInterval}
}

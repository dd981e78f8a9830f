package configuration

import (
	"time"

	"yuccausher/internal/core/config"
)

// Settings are the times of a Service.
type Settings struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// ReadWait is how long one read waits for new records.
	ReadWait time.Duration
	// RetryLeast and RetryMost bound the pause after a failed log call.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// PublishTimeout bounds one publication.
	PublishTimeout time.Duration
	// PeerInterval is the time between looks at the peers' versions, and
	// PeerGrace how long a host may lag behind a peer before it asks it.
	PeerInterval time.Duration
	PeerGrace    time.Duration
	PeerTimeout  time.Duration
	// CopyInterval is the time between looks at the age of the version.
	CopyInterval time.Duration
	// CopySettle is how long a version may stand without a sealed record.
	CopySettle time.Duration
}

const (
	defaultRetention      = 24 * time.Hour
	defaultReadWait       = 5 * time.Second
	defaultRetryLeast     = 100 * time.Millisecond
	defaultRetryMost      = 2 * time.Second
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
	orDefault(&s.MinRetryDelay, defaultRetryLeast)
	orDefault(&s.MaxRetryDelay, defaultRetryMost)
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

package config

import "yuccausher/internal/core/versioned"

// Holder holds the snapshot in force.
type Holder = versioned.Holder[Snapshot, *Snapshot]

// Number returns the snapshot's version.
func (s *Snapshot) Number() int64 { return s.Version }

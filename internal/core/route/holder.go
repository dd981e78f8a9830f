package route

import "yuccausher/internal/core/versioned"

// Holder holds the current table.
type Holder = versioned.Holder[Table, *Table]

// Number returns the version of the table.
func (t *Table) Number() int64 { return t.Version }

package route

import "yuccausher/internal/core/versioned"

// Holder keeps the table in force.
type Holder = versioned.Holder[Table, *Table]

// Number returns the table's version.
func (t *Table) Number() int64 { return t.Version }

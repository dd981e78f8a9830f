// Package ledger holds the state that the records of a stream amount to:
// who owns each partition, and each program's history, intents and budget.
// Every reader that applies the same records comes to the same state. It does
// no I/O and takes no locks.
package ledger

// Package ledger derives state from the records of a log stream: the owner of
// each partition, and each program's history, intents and budget. Readers that
// apply the same records arrive at the same state. The package does no I/O and
// takes no locks; its types are not safe for concurrent use.
package ledger

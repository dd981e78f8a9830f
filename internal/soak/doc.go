// Package soak is a randomized soak of the real programs: hosts run as
// separate processes against stand-ins of the store and of the targets, and
// faults come from outside them. It checks what callers and targets see. All of
// it is in the package's tests; docs/DEVELOPING.md tells how to run it.
package soak

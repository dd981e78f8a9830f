// Package port holds the interfaces between the decisions and the world
// outside them, and the typed messages that cross those interfaces. Adapters
// implement the interfaces; stand-ins implement them in tests.
package port

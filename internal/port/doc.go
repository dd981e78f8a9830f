// Package port defines the interfaces between the core logic and external
// systems, and the types that these interfaces exchange. Adapters implement the
// interfaces; stand-ins implement them in tests.
package port

// Package violations tests a host's process against clients that violate its limits. It holds
// tests only.
package violations

package port

import (
	"context"

	"yuccausher/internal/core/quota"
)

// QuotaReports are the reports of one host to one coordinator of organisations.
type QuotaReports struct {
	// From is the address of the host that reports.
	From    string
	Reports []quota.Report
}

// QuotaCollection is what a host answers to a coordinator that asks for its reports.
type QuotaCollection struct {
	// Process is the upper half of the epochs of the host's reports.
	Process uint64
	// Reports are those on organisations of which the host has admitted requests.
	Reports []quota.Report
}

// QuotaPeers is the client that reaches the coordinators of organisations.
type QuotaPeers interface {
	// Self returns the address of this host, Hosts those of the others.
	Self() string
	Hosts() []string
	// Tell returns the replies to the reports in their order. Its error is a
	// *QuotaUnsupportedError if the host is of a build without organisations.
	Tell(ctx context.Context, host string, r QuotaReports) ([]quota.Reply, error)
	// Collect asks a host for its reports on some organisations. Its errors are those of Tell.
	Collect(ctx context.Context, host string, organisations []string) (QuotaCollection, error)
}

// QuotaServer serves the hosts that admit requests of organisations of which this host is a
// coordinator, and coordinators that ask for reports.
type QuotaServer interface {
	TellLocal(ctx context.Context, r QuotaReports) []quota.Reply
	CollectLocal(coordinator string, organisations []string) QuotaCollection
}

// QuotaUnsupportedError reports that a host is of a build that does not judge limits of
// organisations.
type QuotaUnsupportedError struct{ Host string }

// Error implements error.
func (e *QuotaUnsupportedError) Error() string {
	return "host " + e.Host + " does not judge limits of organisations"
}

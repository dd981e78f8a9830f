package port

import (
	"context"
	"net/http"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/handover"
)

// HandoverDecision is the answer of a host that was asked to take a request.
type HandoverDecision int

// The decisions on a request.
const (
	// HandoverTaken means that the host takes the request.
	HandoverTaken HandoverDecision = iota
	// HandoverCutOff means that the host has no path to the targets either.
	HandoverCutOff
	// HandoverBusy means that the host serves as many requests of other hosts as it can.
	HandoverBusy
	// HandoverLeaving means that the host is about to stop, or has not started yet.
	HandoverLeaving
	// HandoverOutdated means that the host's view is older than that of the sender, or that nobody knows
	// whether it is.
	HandoverOutdated
)

// String returns the decision in lower case.
func (d HandoverDecision) String() string {
	return [...]string{"taken", "cut off", "busy", "leaving", "outdated"}[d]
}

// HandoverRequest is a caller's request that a host passes on to another.
type HandoverRequest struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// IsRecorded is set if the host may have recorded a release for the stream.
	IsRecorded bool
	// Attempts is how many targets have run the request that count as attempts.
	Attempts int
	// IsIdentified is set if the host has checked the caller's key, which is then not in Header.
	// Organisation is the name of the one that the key belongs to; empty on public routes.
	IsIdentified bool
	Organisation string
	// Said is what a kept turn has said before the receiver goes on with it; nil if that is nothing, or not known.
	Said *conversation.Transcript
	// View is what the host has decided by. Its configuration is the newest that the host knows of.
	View handover.View
}

// HandoverSender is the host that passes a request on.
type HandoverSender struct {
	Host string
	// IsRecorded, Attempts, IsIdentified, Organisation, Said and View are those of the request.
	IsRecorded   bool
	Attempts     int
	IsIdentified bool
	Organisation string
	Said         *conversation.Transcript
	View         handover.View
}

// HandoverOffer is the result of asking a host to take a request. Answer is set if it does.
type HandoverOffer struct {
	Decision HandoverDecision
	// Configuration is the version of the configuration by which the host decides; zero if it does not state it.
	Configuration int64
	Answer        HandoverAnswer
}

// HandoverAnswer is the answer to a request that another host has taken. Close must be called
// once.
type HandoverAnswer interface {
	// Start lets the request run and returns the head of its answer. Before the call it has
	// not run. After an error it may have.
	Start() (status int, header http.Header, _ error)
	// Next returns the next part of the body, io.EOF after the last one, and another error if
	// the answer has broken off.
	Next() ([]byte, error)
	Close()
}

// HandoverPeers are the hosts that may take requests.
type HandoverPeers interface {
	// Hosts returns the addresses of the other hosts.
	Hosts() []string
	// Offer asks a host to take a request, which it does not run yet. An error means that
	// it gave no decision. The request ends with ctx.
	Offer(ctx context.Context, host string, r HandoverRequest) (HandoverOffer, error)
}

// HandoverServer takes requests of other hosts.
type HandoverServer interface {
	// Admit decides on a request of a host. configuration is the version of the configuration by which it would
	// be served, or a later one. release must be called once the request has ended or was not taken.
	Admit(from HandoverSender) (_ HandoverDecision, configuration int64, release func())
	// ServeHandover answers a request that was taken.
	ServeHandover(w http.ResponseWriter, r *http.Request, from HandoverSender)
}

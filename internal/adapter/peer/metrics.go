package peer

import "github.com/uber-go/tally/v4"

type clientMetrics struct {
	dialFailed tally.Counter
	broken     tally.Counter
	malformed  tally.Counter
	cancelled  tally.Counter
}

func newClientMetrics(scope tally.Scope) *clientMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("peer_client")
	return &clientMetrics{
		dialFailed: zeroCounter(s, "dial_failed"),
		broken:     zeroCounter(s, "broken"),
		malformed:  zeroCounter(s, "garbage"),
		cancelled:  zeroCounter(s, "cancelled"),
	}
}

type serverMetrics struct {
	refused   tally.Counter
	malformed tally.Counter
	calls     tally.Gauge
}

func newServerMetrics(scope tally.Scope) *serverMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("peer_server")
	return &serverMetrics{
		refused:   zeroCounter(s, "connections_refused"),
		malformed: zeroCounter(s, "garbage"),
		calls:     s.Gauge("calls"),
	}
}

// zeroCounter returns a counter that is reported from the start, before its first
// event.
func zeroCounter(s tally.Scope, name string) tally.Counter {
	c := s.Counter(name)
	c.Inc(0)
	return c
}

package peer

import "github.com/uber-go/tally/v4"

type clientMetrics struct {
	dialFailed tally.Counter
	broken     tally.Counter
	garbage    tally.Counter
	cancelled  tally.Counter
}

func newClientMetrics(scope tally.Scope) *clientMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("peer_client")
	return &clientMetrics{
		dialFailed: zeroed(s, "dial_failed"),
		broken:     zeroed(s, "broken"),
		garbage:    zeroed(s, "garbage"),
		cancelled:  zeroed(s, "cancelled"),
	}
}

type serverMetrics struct {
	refused tally.Counter
	garbage tally.Counter
	calls   tally.Gauge
}

func newServerMetrics(scope tally.Scope) *serverMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("peer_server")
	return &serverMetrics{
		refused: zeroed(s, "connections_refused"),
		garbage: zeroed(s, "garbage"),
		calls:   s.Gauge("calls"),
	}
}

// zeroed returns a counter that is reported before its first event.
func zeroed(s tally.Scope, name string) tally.Counter {
	c := s.Counter(name)
	c.Inc(0)
	return c
}

package load

import (
	"context"
	"net/http"
	"time"

	"yuccausher/internal/adapter/httpcall"
)

// order is a fault of the stand-in, as its control takes it.
type order struct {
	Kind       string `json:"kind"`
	Service    string `json:"service,omitempty"`
	Target     string `json:"target,omitempty"`
	Count      int    `json:"count,omitempty"`
	DurationMS int64  `json:"duration_ms,omitempty"`
}

// step is a fault at a share of the load's duration.
type step struct {
	at    float64
	order order
}

// schedule is the built-in list. Hosts are killed and paused from outside,
// since they are other processes.
var schedule = []step{
	{0.10, order{Kind: "log_down", DurationMS: 4000}},
	{0.25, order{Kind: "service_lost_answer", Service: "billing", Count: 10}},
	{0.30, order{Kind: "service_lost_answer", Service: "ledger", Count: 5}},
	{0.40, order{Kind: "log_lost_ack", Count: 20}},
	{0.50, order{Kind: "target_crash", Target: "small-1"}},
	{0.55, order{Kind: "log_slow", DurationMS: 4000}},
	{0.70, order{Kind: "service_hang", Service: "billing", Count: 3}},
	{0.80, order{Kind: "log_down", DurationMS: 3000}},
}

// causeFaults sends the schedule's faults at their time.
func (r *run) causeFaults(ctx context.Context, until time.Time) {
	client := httpcall.New()
	defer client.Close()
	began := until.Add(-r.o.Duration)
	for _, s := range schedule {
		at := began.Add(time.Duration(s.at * float64(r.o.Duration)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		status, _, err := client.Do(ctx, http.MethodPost, r.o.Control+"/faults", s.order)
		if err != nil || status != http.StatusOK {
			r.results.note("fault "+s.order.Kind, 0, &httpcall.StatusError{Status: status})
		}
	}
}

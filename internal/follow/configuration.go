package follow

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/route"
	"yuccausher/internal/port"
)

// configuration applies the newest configuration document.
type configuration struct {
	key     string
	decode  func([]byte) (route.Document, error)
	tables  *route.Holder
	log     logr.Logger
	version tally.Gauge
	invalid tally.Counter
}

func (c *configuration) reset(records []port.KeyedRecord) {
	for _, r := range records {
		c.apply(r)
	}
}

func (c *configuration) apply(r port.KeyedRecord) {
	if r.Key != c.key {
		return
	}
	document, err := c.decode(r.Value)
	if err != nil {
		c.invalid.Inc(1)
		c.log.Info("Configuration is invalid; the previous one remains in effect.", "offset", r.Offset, "cause", err.Error())
		return
	}
	table := route.NewTable(document)
	if !c.tables.StoreIfNewer(table) {
		return
	}
	c.version.Update(float64(table.Version))
	c.log.Info("Configuration was applied.", "version", table.Version, "routes", table.Len(), "organisations", table.OrganisationCount(), "offset", r.Offset)
	c.reportFaults(table)
}

// maxReportedFaults limits the log lines about one configuration.
const maxReportedFaults = 10

// reportFaults logs the organisations of a configuration that are applied only in part.
func (c *configuration) reportFaults(table *route.Table) {
	faults := table.OrganisationFaults()
	for _, fault := range faults[:min(len(faults), maxReportedFaults)] {
		c.log.Info("Organisation of the configuration is applied in part.", "version", table.Version, "fault", fault, "faults", len(faults))
	}
}

func (c *configuration) afterRead(time.Time) {}

func (c *configuration) storeRecovered(time.Time) {}

package follow

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/route"
	"yuccausher/internal/port"
)

// configuration puts the operators' newest document in force.
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
		c.log.Info("A configuration can't be read; the one before stays in force.", "offset", r.Offset, "cause", err.Error())
		return
	}
	table := route.NewTable(document)
	if !c.tables.StoreIfNewer(table) {
		return
	}
	c.version.Update(float64(table.Version))
	c.log.Info("Configuration in force.", "version", table.Version, "routes", table.Len(), "offset", r.Offset)
}

func (c *configuration) read(time.Time) {}

func (c *configuration) returned(time.Time) {}

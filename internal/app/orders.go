package app

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"yuccausher/internal/core/config"
	"yuccausher/internal/orders"
	"yuccausher/internal/port"
)

// No other component depends on the service, so that fx must invoke its constructor.
var ordersModule = fx.Module("orders", fx.Invoke(startOrders))

type ordersParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Options   Options
	Self      port.Host
	Log       port.Log
	Engine    port.Engine
	Members   port.Members
	Holder    *config.Holder
	Scope     tally.Scope
}

func startOrders(p ordersParams) {
	registerHooks(p.Lifecycle, orders.New(orders.Params{
		Self:    p.Self,
		Log:     p.Log,
		Engine:  p.Engine,
		Members: p.Members,
		Holder:  p.Holder,
		Metrics: p.Scope,
		Logger:  p.Options.Logger,
	}))
}

// Package admit lets a request wait in the queue of its class until a target has
// room for it.
package admit

import (
	"context"

	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/version/state"
)

var evNoRoom = eventlog.Define(4201, zerolog.WarnLevel, "request refused without room")

// Admitter admits requests to targets.
type Admitter struct {
	router *route.Router
	log    zerolog.Logger
}

// New returns an Admitter without waiting requests.
func New(router *route.Router, _ *metrics.Set, log zerolog.Logger) *Admitter {
	return &Admitter{router: router, log: log}
}

// Acquire returns a target with a slot held. Its errors carry the verdict not-run.
func (a *Admitter) Acquire(_ context.Context, info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error) {
	choice, err := a.router.Choose(info, snap, tried)
	if err != nil {
		evNoRoom.Log(a.log).Str("request", info.ID).Str("service", info.Service.Name).Str("class", info.Class.Name).Send()
	}
	return choice, err
}

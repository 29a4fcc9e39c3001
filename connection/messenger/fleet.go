package messenger

import (
	"context"

	"storj.io/drpc"

	"bluebelldoor"
)

// The names of the calls of VMs that find each other through seeds.
const (
	rpcExchange = "/bluebelldoor/exchange"
	rpcTurn     = "/bluebelldoor/turn"
)

var _ bluebelldoor.FleetPeers = (*Messenger)(nil)

// Exchange implements bluebelldoor.FleetPeers.
func (m *Messenger) Exchange(ctx context.Context, address string, in *bluebelldoor.ExchangeMessage) (*bluebelldoor.ExchangeMessage, error) {
	return over[bluebelldoor.ExchangeMessage](ctx, m, m.kept.Get(ctx, address, dial), rpcExchange, in)
}

// Turn implements bluebelldoor.FleetPeers.
func (m *Messenger) Turn(ctx context.Context, address string, in *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, error) {
	return over[bluebelldoor.TurnReply](ctx, m, m.kept.Get(ctx, address, dial), rpcTurn, in)
}

func fleetUnary[In, Out any](call func(bluebelldoor.FleetHandler, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return call(srv.(bluebelldoor.FleetHandler), ctx, in.(*In))
	}
}

var fleetMethods = []method{
	{rpcExchange, fleetUnary(bluebelldoor.FleetHandler.Exchange), bluebelldoor.FleetHandler.Exchange},
	{rpcTurn, fleetUnary(bluebelldoor.FleetHandler.Turn), bluebelldoor.FleetHandler.Turn},
}

// ServeFleet answers VMs that find each other through seeds. The clean-up
// function stops it and waits for calls under way.
func ServeFleet(address string, secret []byte, handler bluebelldoor.FleetHandler) (func(), error) {
	return serve(address, handler, service{seal{secret}, fleetMethods})
}

package connector

import (
	"context"
	"time"

	"bluebelldoor"
	"bluebelldoor/standin/publisher"
)

// Peers calls other VMs by name, on behalf of one VM. In this package a VM's name
// is its peer address.
type Peers struct {
	from    string
	network *Network
	cluster *Cluster
}

var _ bluebelldoor.PeerClient = (*Peers)(nil)

// NewPeers returns the peer client of the process named from.
func NewPeers(from string, n *Network, c *Cluster) *Peers {
	return &Peers{from: from, network: n, cluster: c}
}

// SetVM registers the peer handler of a VM; a restarted VM replaces its earlier
// handler.
func (c *Cluster) SetVM(name string, h bluebelldoor.PeerHandler) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms[name] = h
}

func (c *Cluster) peerHandler(name string) bluebelldoor.PeerHandler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[name]
}

// callPeer calls a method of another VM.
func callPeer[In, Out any](ctx context.Context, p *Peers, to string, in *In, call func(bluebelldoor.PeerHandler, context.Context, *In) (*Out, error)) (*Out, error) {
	var out *Out
	var callErr error
	err := p.network.roundTrip(ctx, p.from, to, func() {
		h := p.cluster.peerHandler(to)
		if h == nil {
			callErr = ErrUnreachable
			return
		}
		out, callErr = call(h, ctx, in)
	})
	if err == nil {
		err = callErr
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}

// State implements bluebelldoor.PeerClient.
func (p *Peers) State(ctx context.Context, address string, in *bluebelldoor.StateRequest) (*bluebelldoor.StateReply, error) {
	return callPeer(ctx, p, address, in, bluebelldoor.PeerHandler.State)
}

// Forward implements bluebelldoor.PeerClient.
func (p *Peers) Forward(ctx context.Context, address string, in *bluebelldoor.ForwardRequest) (*bluebelldoor.ForwardReply, error) {
	return callPeer(ctx, p, address, in, bluebelldoor.PeerHandler.Forward)
}

// Announce implements bluebelldoor.PeerClient.
func (p *Peers) Announce(ctx context.Context, address string, in *bluebelldoor.KeyRequest) (*bluebelldoor.AnnounceReply, error) {
	return callPeer(ctx, p, address, in, bluebelldoor.PeerHandler.Announce)
}

// Ask implements bluebelldoor.PeerClient.
func (p *Peers) Ask(ctx context.Context, address string, in *bluebelldoor.KeyRequest) (*bluebelldoor.AskReply, error) {
	return callPeer(ctx, p, address, in, bluebelldoor.PeerHandler.Ask)
}

// Leave implements bluebelldoor.PeerClient.
func (p *Peers) Leave(ctx context.Context, address string, in *bluebelldoor.LeaveRequest) (*bluebelldoor.LeaveReply, error) {
	return callPeer(ctx, p, address, in, bluebelldoor.PeerHandler.Leave)
}

// Loads implements bluebelldoor.PeerClient.
func (p *Peers) Loads(ctx context.Context, address string, in *bluebelldoor.LoadsMessage) (*bluebelldoor.LoadsMessage, error) {
	return callPeer(ctx, p, address, in, bluebelldoor.PeerHandler.Loads)
}

// PlatformNode is the platform's node name in the network.
const PlatformNode = "platform"

// Platform calls the platform's stand-in, on behalf of one VM.
type Platform struct {
	from     string
	network  *Network
	platform *publisher.Platform
}

var (
	_ bluebelldoor.ConfigurationReader = (*Platform)(nil)
	_ bluebelldoor.VMLister            = (*Platform)(nil)
)

// NewPlatform returns the platform client of the process named from.
func NewPlatform(from string, n *Network, p *publisher.Platform) *Platform {
	return &Platform{from: from, network: n, platform: p}
}

// Read implements bluebelldoor.ConfigurationReader.
func (p *Platform) Read(ctx context.Context, after uint64, wait time.Duration) (bluebelldoor.Publication, error) {
	var out bluebelldoor.Publication
	var readErr error
	err := p.network.roundTrip(ctx, p.from, PlatformNode, func() {
		out, readErr = p.platform.Read(ctx, nodeOf(p.from), after, wait)
	})
	if err == nil {
		err = readErr
	}
	return out, err
}

// List implements bluebelldoor.VMLister.
func (p *Platform) List(ctx context.Context) (*bluebelldoor.VMList, error) {
	var out *bluebelldoor.VMList
	var readErr error
	err := p.network.roundTrip(ctx, p.from, PlatformNode, func() {
		out, readErr = p.platform.List(nodeOf(p.from))
	})
	if err == nil {
		err = readErr
	}
	return out, err
}

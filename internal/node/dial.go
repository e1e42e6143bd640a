package node

import (
	"net/http"
	"time"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

const (
	// peerIdle is how long an idle connection to another VM is kept.
	peerIdle = 10 * time.Second
	// gathererDial bounds opening a connection to a stronger VM of the zone, gathererSilent how long bytes
	// sent there may stay unacknowledged: a round trip takes 0.2 ms.
	gathererDial, gathererSilent = 100 * time.Millisecond, 250 * time.Millisecond
	// gathererIdle is how many idle connections to each are kept: a burst brings a weak VM some 5 searches at once.
	gathererIdle = 8
)

// dialGatherers returns clients for searches handed over. Their connections find within some tenths of a
// second that the other end is gone: a search waits for it.
func dialGatherers(bind string) func(address string) delegate.Client {
	dialer := rpc.Dialer(bind)
	dialer.Timeout = gathererDial
	dialer.Control = rpc.TCPUserTimeout(gathererSilent)
	shared := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: gathererIdle, IdleConnTimeout: peerIdle, DisableCompression: true,
	}}
	options := searched()
	return func(address string) delegate.Client {
		return burdockv1connect.NewFleetServiceClient(shared, "http://"+address, options...)
	}
}

// dialPeers returns clients that share one transport. It speaks HTTP/1.1: a connection gone silent is
// found and closed by the timeout of its exchange, while the pings of HTTP/2 over the connections of 60
// VMs to each other took more bytes than all exchanges.
func dialPeers(bind string) peers.Dial {
	shared := &http.Client{Transport: &http.Transport{
		DialContext: rpc.Dialer(bind).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdle, DisableCompression: true,
	}}
	options := exchanged() // they hold the compressors
	return func(address string) peers.Client {
		return burdockv1connect.NewFleetServiceClient(shared, "http://"+address, options...)
	}
}

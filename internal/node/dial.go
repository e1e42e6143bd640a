package node

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/fleetload"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

const (
	// peerIdleTimeout is how long an idle connection to another VM is kept.
	peerIdleTimeout = 10 * time.Second
	// gathererDialTimeout bounds opening a connection to a larger VM, and gathererAckTimeout how long sent
	// bytes may stay unacknowledged. A round trip within the zone takes 0.2 ms.
	gathererDialTimeout, gathererAckTimeout = 100 * time.Millisecond, 250 * time.Millisecond
	// gathererMaxIdleConns bounds the idle connections kept to each gatherer. A burst brings a smaller VM about
	// 5 searches at once.
	gathererMaxIdleConns = 8
	// maxLoadAnswerBytes bounds the answer of a hub that is read. A valid one takes 1 KB.
	maxLoadAnswerBytes = 16 << 10
)

// dialGatherers returns a function that creates clients for handing searches over. Their connections detect
// within a few tenths of a second that the other end is gone, because a search waits for it.
func dialGatherers(bind string) func(address string) delegate.Client {
	dialer := rpc.Dialer(bind)
	dialer.Timeout = gathererDialTimeout
	dialer.Control = rpc.TCPUserTimeout(gathererAckTimeout)
	shared := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: gathererMaxIdleConns, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
	}}
	options := searchClientOptions()
	return func(address string) delegate.Client {
		return burdockv1connect.NewFleetServiceClient(shared, "http://"+address, options...)
	}
}

// dialPeers returns a function that creates clients for exchanges, which share one transport. It speaks
// HTTP/1.1: the timeout of an exchange detects and closes a connection that has become silent, while the pings
// of HTTP/2 over the connections of 60 VMs to each other took more bytes than all exchanges.
func dialPeers(bind string) peers.Dial {
	shared := &http.Client{Transport: &http.Transport{
		DialContext: rpc.Dialer(bind).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
	}}
	options := exchangeClientOptions() // shared by all clients, since they hold the compressors
	return func(address string) peers.Client {
		return burdockv1connect.NewFleetServiceClient(shared, "http://"+address, options...)
	}
}

// dialLoads returns a function that creates clients for exchanges of load reports, which share one transport. As for
// exchanges of peers, the timeout of an exchange closes a connection that has become silent.
func dialLoads(bind string) func(address string) fleetload.Client {
	shared := &http.Client{Transport: &http.Transport{
		DialContext: rpc.Dialer(bind).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
	}}
	options := append(searchClientOptions(), connect.WithReadMaxBytes(maxLoadAnswerBytes))
	return func(address string) fleetload.Client {
		return burdockv1connect.NewFleetServiceClient(shared, "http://"+address, options...)
	}
}

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
	// loadIdleTimeout is how long an idle connection for load reports is kept. It is short, so that nothing is sent
	// on calm days, pings included.
	loadIdleTimeout = time.Second
	// loadPingAfter is how long a connection for load reports may be silent before it is pinged, loadPingTimeout how
	// long the ping may stay unanswered. Exchanges come more often, so that only a lost hub is pinged.
	loadPingAfter, loadPingTimeout = 300 * time.Millisecond, 300 * time.Millisecond
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

// dialLoads returns a function that creates clients for exchanges of load reports, which share one transport. It speaks
// HTTP/2: five exchanges a second with headers in full would take 2 KB/s, half of what all control messages may.
func dialLoads(bind string) func(address string) fleetload.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	shared := &http.Client{Transport: &http.Transport{
		Protocols: &protocols, DialContext: rpc.Dialer(bind).DialContext, IdleConnTimeout: loadIdleTimeout, DisableCompression: true,
		HTTP2: &http.HTTP2Config{SendPingTimeout: loadPingAfter, PingTimeout: loadPingTimeout},
	}}
	options := append(searchClientOptions(), connect.WithReadMaxBytes(maxLoadAnswerBytes))
	return func(address string) fleetload.Client {
		return burdockv1connect.NewFleetServiceClient(shared, "http://"+address, options...)
	}
}

package node

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/urfave/negroni/v3"

	"github.com/burdockplank/burdockplank/internal/callerconn"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

const (
	// fileDescriptorReserve is the number of descriptors that are not for sockets.
	fileDescriptorReserve = 200
	// otherConnsFraction is the fraction of the sockets that is kept for connections to other VMs, the store, the balancer and
	// operators, and to refuse callers above the limit.
	otherConnsFraction = 0.125
	// minCallerConnsFraction is the fraction of the sockets that callers get in any case, maxCallerConnsFraction the one
	// that they get at most. Leaves get minLeafConnsFraction in any case. The last two and otherConnsFraction stay below 1.
	minCallerConnsFraction = 0.25
	maxCallerConnsFraction = 0.625
	minLeafConnsFraction   = 0.125
	// receiveBufferBytes bounds what the kernel receives on a connection of a caller before the process reads it. The kernel
	// doubles it, for its own use.
	receiveBufferBytes = 32 << 10
	// tooManyConnsRetryAfterS is after how many seconds a caller that is refused so may come back. Connections with a request end in less.
	tooManyConnsRetryAfterS = 1
	// reasonTooManyConns is the reason of refusals for want of descriptors, in metrics.
	reasonTooManyConns = "too many connections"
)

// newCallerServer returns the HTTP server for callers. How long connections may be idle is left to d.callers.
func (d *Daemon) newCallerServer() *http.Server {
	closeAfterAnswer := func() bool { return d.leaving.Load() || d.callers.NearLimit() }
	edge := d.platform.NewCallerHandler(d.delegate, d.limits, d.mayHaveRoute, closeAfterAnswer, d.countRefusal)
	n := negroni.New(negroni.HandlerFunc(d.refuseAboveLimit))
	n.UseHandler(edge)
	connContext := func(ctx context.Context, c net.Conn) context.Context {
		return callerconn.ConnContext(d.platform.ConnContext(ctx, c), c)
	}
	return &http.Server{Handler: n, ConnContext: connContext, ConnState: d.callers.ConnState}
}

// countRefusal counts a request that is refused before it reaches the engine.
func (d *Daemon) countRefusal(reason string) { d.refusals.WithLabelValues(reason).Inc() }

// mayHaveRoute reports whether the configuration in force has a route for the request, or there is none yet.
func (d *Daemon) mayHaveRoute(r *dispatch.Request) bool {
	c := d.directory.Current().Config
	return c == nil || dispatch.Match(c, r) != nil
}

// listenForCallers returns the listener for callers.
func (d *Daemon) listenForCallers(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: rpc.ReceiveBuffer(receiveBufferBytes)}
	l, err := config.Listen(ctx, "tcp", d.settings.CallersAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "node: listen for callers at %s", d.settings.CallersAddress)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, eris.Errorf("node: listener for callers is a %T", l)
	}
	return d.callers.Listener(tcp), nil
}

// refuseAboveLimit refuses the request of a connection above the limit, which has not run.
func (d *Daemon) refuseAboveLimit(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if !callerconn.Refused(r.Context()) {
		next(w, r)
		return
	}
	d.countRefusal(reasonTooManyConns)
	_ = callerconn.DiscardBody(w) // it fails only on a closed connection
	w.Header().Set("Retry-After", strconv.Itoa(tooManyConnsRetryAfterS))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// sockets returns how many descriptors there are for sockets; 0 if no limit is known.
func (d *Daemon) sockets() float64 {
	return float64(max(d.fileDescriptors.Load()-fileDescriptorReserve, 0))
}

// maxCallerConns returns how many connections of callers there is room for: memory, and descriptors beside those to leaves
// where their number is known.
func (d *Daemon) maxCallerConns() int {
	byMemory := float64(fractionOf(d.memoryBytes.Load(), connMemoryFraction) / callerconn.ConnBytes)
	sockets := d.sockets()
	if sockets == 0 {
		return int(byMemory)
	}
	left := (1-otherConnsFraction)*sockets - float64(d.pool.Capacity())
	return int(min(max(left, minCallerConnsFraction*sockets), maxCallerConnsFraction*sockets, byMemory))
}

// maxLeafConns returns how many connections to leaves there are descriptors for beside those of callers; 0 if no limit
// is known.
func (d *Daemon) maxLeafConns() int {
	sockets := d.sockets()
	left := (1-otherConnsFraction)*sockets - float64(d.callers.Open())
	return int(max(left, minLeafConnsFraction*sockets))
}

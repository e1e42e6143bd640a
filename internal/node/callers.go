package node

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/urfave/negroni/v3"

	"github.com/burdockplank/burdockplank/internal/callerconn"
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
	// tooManyConnsRetryAfterS is after how many seconds a caller that is refused so may come back. Connections with a request end in less.
	tooManyConnsRetryAfterS = 1
	// reasonTooManyConns is the reason of refusals for want of descriptors, in metrics.
	reasonTooManyConns = "too many connections"
)

// newCallerServer returns the HTTP server for callers. How long connections may be idle is left to d.callers.
func (d *Daemon) newCallerServer() *http.Server {
	closeAfterAnswer := func() bool { return d.leaving.Load() || d.callers.NearLimit() }
	edge := d.platform.NewCallerHandler(d.delegate, d.limits, closeAfterAnswer, func(reason string) { d.refusals.WithLabelValues(reason).Inc() })
	n := negroni.New(negroni.HandlerFunc(d.refuseAboveLimit))
	n.UseHandler(edge)
	connContext := func(ctx context.Context, c net.Conn) context.Context {
		return callerconn.ConnContext(d.platform.ConnContext(ctx, c), c)
	}
	return &http.Server{Handler: n, ConnContext: connContext, ConnState: d.callers.ConnState}
}

// listenForCallers returns the listener for callers.
func (d *Daemon) listenForCallers() (net.Listener, error) {
	address, err := net.ResolveTCPAddr("tcp", d.settings.CallersAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "node: callers' address %s", d.settings.CallersAddress)
	}
	l, err := net.ListenTCP("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "node: listen for callers")
	}
	return d.callers.Listener(l), nil
}

// refuseAboveLimit refuses the request of a connection above the limit, which has not run.
func (d *Daemon) refuseAboveLimit(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if !callerconn.Refused(r.Context()) {
		next(w, r)
		return
	}
	d.refusals.WithLabelValues(reasonTooManyConns).Inc()
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(tooManyConnsRetryAfterS))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// sockets returns how many descriptors there are for sockets; 0 if no limit is known.
func (d *Daemon) sockets() float64 {
	return float64(max(d.settings.FileDescriptors-fileDescriptorReserve, 0))
}

// maxCallerConns returns how many connections of callers there are descriptors for beside those to leaves; 0 if no limit is
// known.
func (d *Daemon) maxCallerConns() int {
	sockets := d.sockets()
	left := (1-otherConnsFraction)*sockets - float64(d.pool.Capacity())
	return int(min(max(left, minCallerConnsFraction*sockets), maxCallerConnsFraction*sockets))
}

// maxLeafConns returns how many connections to leaves there are descriptors for beside those of callers; 0 if no limit
// is known.
func (d *Daemon) maxLeafConns() int {
	sockets := d.sockets()
	left := (1-otherConnsFraction)*sockets - float64(d.callers.Open())
	return int(max(left, minLeafConnsFraction*sockets))
}

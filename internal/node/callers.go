package node

import (
	"net/http"
	"time"

	"github.com/urfave/negroni/v3"
)

const (
	// headerReadTimeout bounds the time to read the head of a request.
	headerReadTimeout = 10 * time.Second
	// fileDescriptorReserve is the number of descriptors that are not for sockets.
	fileDescriptorReserve = 200
	// otherConnsFraction is the fraction of the sockets that is kept for connections to other VMs, the store and operators.
	otherConnsFraction = 0.125
	// minCallerConnsFraction is the fraction of the sockets that callers get in any case.
	minCallerConnsFraction = 0.25
)

// newCallerServer returns the HTTP server for callers. Idle connections are left to d.callers.
func (d *Daemon) newCallerServer() *http.Server {
	edge := d.platform.NewCallerHandler(d.delegate, d.limits, d.leaving.Load, func(reason string) { d.refusals.WithLabelValues(reason).Inc() })
	n := negroni.New()
	n.UseHandler(edge)
	return &http.Server{Handler: n, ReadHeaderTimeout: headerReadTimeout, ConnContext: d.platform.ConnContext, ConnState: d.callers.ConnState}
}

// maxCallerConns returns how many connections of callers there is room for beside those to leaves; 0 if no limit is known.
// Without room for a socket, this VM could neither take a connection nor open one to a leaf.
func (d *Daemon) maxCallerConns() int {
	if d.settings.FileDescriptors == 0 {
		return 0
	}
	sockets := float64(d.settings.FileDescriptors - fileDescriptorReserve)
	room := (1-otherConnsFraction)*sockets - float64(d.pool.Open())
	return int(max(room, minCallerConnsFraction*sockets))
}

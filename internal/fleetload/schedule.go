package fleetload

import (
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/peers"
)

const (
	// exchangeInterval is the minimum time between two exchanges with a zone.
	exchangeInterval = 200 * time.Millisecond
	// exchangeTimeout bounds an exchange. A round trip between zones takes some milliseconds.
	exchangeTimeout = 100 * time.Millisecond
	// maxFirstDelay bounds the random time added to the interval after the first of a series of exchanges. VMs
	// notice a burst together. If their exchanges stayed together, a report that just missed them would take two
	// intervals to all VMs.
	maxFirstDelay = 100 * time.Millisecond
	// hubSkipTime is how long a hub is not used after a failed exchange.
	hubSkipTime = time.Second
	// demandPeriod is how long a VM takes part in the exchanges after it has used a busy service or gatherer, and a
	// hub after it has received a report of one.
	demandPeriod = time.Second
	// checkInterval is the longest time between two checks whether an exchange is due.
	checkInterval = 50 * time.Millisecond
	// pauseTolerance is how late a check may be before the process counts as paused.
	pauseTolerance = 50 * time.Millisecond
)

// target is a hub to exchange with, and its zone.
type target struct{ zone, address string }

// hubOf returns the first of a zone's gateways that is not skipped, and false where there is none.
func hubOf(gateways []peers.VM, skipped func(address string) bool) (string, bool) {
	for _, vm := range gateways {
		if !skipped(vm.Address) {
			return vm.Address, true
		}
	}
	return "", false
}

// isGateway reports whether the VM is among the gateways.
func isGateway(gateways []peers.VM, address string) bool {
	return slices.ContainsFunc(gateways, func(vm peers.VM) bool { return vm.Address == address })
}

// situation is what decides with whom a VM exchanges.
type situation struct {
	self, zone string
	gateways   map[string][]peers.VM
	// skipped reports whether exchanges with the hub failed a moment ago.
	skipped func(address string) bool
	// used is set if this VM has just used a busy service or gatherer, received if it was sent a report of one.
	used, received bool
}

// targets returns the hubs to exchange with: that of the own zone, and for a hub those of the other zones. The second
// gateway of a zone becomes a hub when other VMs send it reports.
func (s situation) targets() []target {
	gateway := isGateway(s.gateways[s.zone], s.self)
	relays := gateway && s.received
	if !s.used && !relays {
		return nil
	}
	var out []target
	own, ok := hubOf(s.gateways[s.zone], s.skipped)
	if ok && own != s.self {
		out = append(out, target{s.zone, own})
	}
	if own != s.self && !relays {
		return out
	}
	for zone, gateways := range s.gateways {
		if hub, ok := hubOf(gateways, s.skipped); ok && zone != s.zone {
			out = append(out, target{zone, hub})
		}
	}
	return out
}

// contact tracks the exchanges with a zone.
type contact struct {
	// last is when the newest exchange began, by whichever side, and due when the next one may begin.
	last, due time.Time
	inFlight  bool
}

// begin records an exchange that begins now. random is in [0,1).
func (c *contact) begin(now time.Time, random float64) {
	c.due = now.Add(exchangeInterval)
	if c.last.IsZero() || now.Sub(c.last) > demandPeriod {
		c.due = c.due.Add(time.Duration(random * float64(maxFirstDelay)))
	}
	c.last = now
}

// isDue reports whether an exchange may begin.
func (c *contact) isDue(now time.Time) bool { return !c.inFlight && !now.Before(c.due) }

// pauses detects that the process did not run for a time. A request may have waited as long as that, so the reports in
// it are older than they say.
type pauses struct {
	lastCheck, endedAt time.Time
	length             time.Duration
}

// check records that the process runs.
func (p *pauses) check(now time.Time) {
	if length := p.current(now); length > 0 {
		p.length, p.endedAt = length, now
	}
	p.lastCheck = now
}

// current returns the length of a pause that no check has followed yet.
func (p *pauses) current(now time.Time) time.Duration {
	late := now.Sub(p.lastCheck) - checkInterval
	if p.lastCheck.IsZero() || late <= pauseTolerance {
		return 0
	}
	return late
}

// wait returns how long a request may have waited that is read now. Requests from before a pause are read soon after
// its end; by exchangeTimeout later, their senders have given up.
func (p *pauses) wait(now time.Time) time.Duration {
	wait := p.current(now)
	if !p.endedAt.IsZero() && now.Sub(p.endedAt) < exchangeTimeout {
		wait = max(wait, p.length)
	}
	return wait
}

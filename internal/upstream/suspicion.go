package upstream

import "time"

const (
	// answerTime is how long a ping stays unanswered on a working connection at most. A round trip takes a
	// few milliseconds.
	answerTime = 20 * time.Millisecond
	// earlyPingTimeout is how long a ping of Probe may stay unanswered. A connection is taken out of use no
	// sooner by it than by the ping that follows a silence of busyPingAfter.
	earlyPingTimeout = busyPingAfter + pingTimeout
)

// Probe pings the connections to the service's leaves on which calls wait. Their answers tell busy leaves, which
// answer pings, from silent connections long before these are taken out of use.
func (p *Pool) Probe(service string) {
	now := time.Now()
	for _, l := range p.all() {
		if l.service == service {
			l.probeBusy(now)
		}
	}
}

func (l *leaf) probeBusy(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.inFlight > 0 {
			l.ping(c, now, earlyPingTimeout)
		}
	}
}

// Silent reports whether a connection to a leaf of the service, on which calls wait, has left a ping unanswered, or
// whether one was just found silent.
func (p *Pool) Silent(service string) bool {
	now := time.Now()
	for _, l := range p.all() {
		if l.service == service && l.showsSilence(now) {
			return true
		}
	}
	return false
}

func (l *leaf) showsSilence(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.recoverBy) {
		return true
	}
	for _, c := range l.conns {
		if c.inFlight > 0 && c.pinging && now.Sub(c.pingedAt) >= answerTime && !c.tcp.lastHeard().After(c.pingedAt) {
			return true
		}
	}
	return false
}

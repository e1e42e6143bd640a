package relay

import (
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Mode is the effect of a rule on the traffic that it matches.
type Mode string

// The modes. A rule without a mode only delays.
const (
	// ModeCut resets connections, old and new, and drops UDP.
	ModeCut Mode = "cut"
	// ModeSilence drops bytes in both directions while connections stay open, and drops UDP. A connection
	// that lost bytes, or was opened meanwhile, stays silent permanently after the rule is removed.
	ModeSilence Mode = "silence"
	// ModeSilenceEstablished permanently silences the connections that are open when the rule is first
	// set. New connections and UDP pass.
	ModeSilenceEstablished Mode = "silence_established"
)

// Any matches every IP address.
const Any = "*"

// Rule matches connections and packets by the client's IP address and the IP address that the relay
// listens on for the target. It applies to both directions of a connection.
type Rule struct {
	From string `json:"from"`
	To   string `json:"to"`
	Mode Mode   `json:"mode,omitempty"`
	// Delay is the one-way delay in each direction. 0 means none.
	Delay settings.Duration `json:"delay,omitempty"`
}

func (r *Rule) matches(from, to string) bool {
	return (r.From == Any || r.From == from) && (r.To == Any || r.To == to)
}

func (r *Rule) check() error {
	switch r.Mode {
	case "", ModeCut, ModeSilence, ModeSilenceEstablished:
	default:
		return eris.Errorf("mode: want cut, silence or silence_established, got %q", r.Mode)
	}
	for _, ip := range []string{r.From, r.To} {
		if ip != Any && net.ParseIP(ip) == nil {
			return eris.Errorf("from, to: want an IP number or *, got %q", ip)
		}
	}
	if r.Delay < 0 {
		return eris.Errorf("delay: want at least 0, got %v", r.Delay.D())
	}
	return nil
}

// effect is the effect of the rules on traffic between two addresses.
type effect struct {
	cut     bool
	silence bool
	delay   time.Duration
}

// evaluate returns the effect of the first matching rule that cuts or silences and of the first that delays.
func evaluate(rules []Rule, from, to string) effect {
	var v effect
	decided := false
	for i := range rules {
		r := &rules[i]
		if !r.matches(from, to) {
			continue
		}
		if !decided && (r.Mode == ModeCut || r.Mode == ModeSilence) {
			v.cut, v.silence = r.Mode == ModeCut, r.Mode == ModeSilence
			decided = true
		}
		if v.delay == 0 {
			v.delay = r.Delay.D()
		}
	}
	return v
}

// silencesEstablished reports whether next has a ModeSilenceEstablished rule for the two addresses that is
// not in old.
func silencesEstablished(old, next []Rule, from, to string) bool {
	for i := range next {
		r := next[i]
		if r.Mode == ModeSilenceEstablished && r.matches(from, to) && !slices.Contains(old, r) {
			return true
		}
	}
	return false
}

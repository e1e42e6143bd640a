package relay

import (
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Mode is what a rule does to the traffic it matches.
type Mode string

// The modes. A rule without a mode only delays.
const (
	// ModeCut resets connections, old and new, and drops UDP.
	ModeCut Mode = "cut"
	// ModeSilence swallows bytes in both directions with connections kept open, and drops UDP. A
	// connection that lost bytes, or began meanwhile, stays silent for good after the rule.
	ModeSilence Mode = "silence"
	// ModeSilenceEstablished makes the connections silent for good that are open when the rule is
	// first set; new ones and UDP pass.
	ModeSilenceEstablished Mode = "silence_established"
)

// Any matches each IP number.
const Any = "*"

// Rule matches connections and packets by the client's IP number and the IP number that the relay
// listens on for the target; both directions of a connection are under the same rule.
type Rule struct {
	From string `json:"from"`
	To   string `json:"to"`
	Mode Mode   `json:"mode,omitempty"`
	// Delay is the one-way delay of each direction; 0 is none.
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

// effect is what the rules say of one pair of addresses.
type effect struct {
	cut     bool
	silence bool
	delay   time.Duration
}

// evaluate applies the first matching rule that cuts or silences and the first that delays.
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

// silencesEstablished tells whether next holds a rule that silences what is open between the two
// addresses and that did not stand in old.
func silencesEstablished(old, next []Rule, from, to string) bool {
	for i := range next {
		r := next[i]
		if r.Mode == ModeSilenceEstablished && r.matches(from, to) && !slices.Contains(old, r) {
			return true
		}
	}
	return false
}

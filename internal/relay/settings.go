package relay

import (
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Network is a transport protocol that is forwarded.
type Network string

// The transport protocols.
const (
	TCP Network = "tcp"
	UDP Network = "udp"
)

// Settings holds the settings of a relay.
type Settings struct {
	// Control is the IP:PORT of the HTTP listener for reading and setting the rules.
	Control string `toml:"control"`
	// Forwards holds the addresses to listen on, each with its target.
	Forwards []Forward `toml:"forward"`
}

// Forward forwards the traffic to Listen to Target, both IP:PORT.
type Forward struct {
	Listen string `toml:"listen"`
	Target string `toml:"target"`
	// Networks holds the transport protocols to forward. If empty, it is TCP only.
	Networks []Network `toml:"networks"`
}

// Check fills in the defaults and refuses addresses that are not IP:PORT, unknown protocols and an empty list
// of forwards.
func (s *Settings) Check(c *settings.Checker) {
	settings.CheckHostPort(c, "control", s.Control)
	c.Require(len(s.Forwards) > 0, "forward", "want at least one [[forward]]")
	for i := range s.Forwards {
		s.Forwards[i].check(c, i+1)
	}
}

func (f *Forward) check(c *settings.Checker, number int) {
	if len(f.Networks) == 0 {
		f.Networks = []Network{TCP}
	}
	c.Require(settings.ValidHostPort(f.Listen), "forward.listen", "[[forward]] number %d: want IP:PORT, got %q", number, f.Listen)
	c.Require(settings.ValidHostPort(f.Target), "forward.target", "[[forward]] number %d: want IP:PORT, got %q", number, f.Target)
	for _, n := range f.Networks {
		c.Require(n == TCP || n == UDP, "forward.networks", "[[forward]] number %d: want tcp or udp, got %q", number, n)
	}
}

package relay

import (
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Network is a transport that is forwarded.
type Network string

// The networks.
const (
	TCP Network = "tcp"
	UDP Network = "udp"
)

// Settings say what a relay forwards.
type Settings struct {
	// Control is IP:PORT of the listener on which rules are set.
	Control string `toml:"control"`
	// Forwards are the addresses taken, each with its target.
	Forwards []Forward `toml:"forward"`
}

// Forward takes what comes to Listen on to Target, both IP:PORT.
type Forward struct {
	Listen string `toml:"listen"`
	Target string `toml:"target"`
	// Networks is TCP alone where it is empty.
	Networks []Network `toml:"networks"`
}

// Check fills in the defaults and refuses what can't work.
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

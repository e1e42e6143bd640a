package load

import (
	"fmt"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Resend is a caller's policy for requests that were not answered.
type Resend string

// The resend policies.
const (
	// ResendNone takes every outcome as final.
	ResendNone Resend = "none"
	// ResendAtOnce resends after resendPause, whatever RetryAfter the answer gave. It doesn't resend
	// where the reason can't change.
	ResendAtOnce Resend = "at_once"
	// ResendRetryAfter resends after the answer's RetryAfter, and doesn't resend without one.
	ResendRetryAfter Resend = "retry_after"
)

// The bounds of one run.
const (
	maxRate     = 200_000
	maxRequests = 10_000_000
	maxDuration = time.Hour
	maxResends  = 1000
	maxInFlight = 200_000
)

// Settings are the settings of a run.
type Settings struct {
	Log  settings.Log `toml:"log"`
	Load RunSettings  `toml:"load"`
	// Phases follow one another without a gap.
	Phases []PhaseSettings `toml:"phase"`
	// Mix lists the kinds of requests that are sent, distributed by weight.
	Mix []MixSettings `toml:"mix"`
	// Leaves are the stand-ins whose counts are read before and after the run.
	Leaves []LeafSettings `toml:"leaf"`
	// Processes are those whose CPU time is read before and after the run.
	Processes []ProcessSettings `toml:"process"`
}

// RunSettings are the settings that apply to the whole run.
type RunSettings struct {
	// Entries are the IP:PORT addresses of the entries, loopback only. Each send goes to a random one.
	Entries []string `toml:"entries"`
	// Operators are the operator listeners of the entries, in the same order, or none. With them an
	// entry that has not been ready for BalancerLag gets no requests.
	Operators   []string          `toml:"operators"`
	BalancerLag settings.Duration `toml:"balancer_lag"`
	// Seed is the seed of the arrivals.
	Seed uint64 `toml:"seed"`
	// MaxRequests is the number of arrivals after which the run ends early.
	MaxRequests int `toml:"max_requests"`
	// MaxInFlight limits the requests in flight. Arrivals beyond it are counted as dropped.
	MaxInFlight int `toml:"max_in_flight"`
	// Resend is none, at_once or retry_after. MaxResends limits the resends of one request.
	Resend     Resend `toml:"resend"`
	MaxResends int    `toml:"max_resends"`
}

// PhaseSettings is one Phase in the settings file. Rate is in requests per second.
type PhaseSettings struct {
	Name     string            `toml:"name"`
	Rate     float64           `toml:"rate"`
	Duration settings.Duration `toml:"duration"`
}

// MixSettings is one service and kind of the mix.
type MixSettings struct {
	Service string      `toml:"service"`
	Kind    string      `toml:"kind"`
	Mode    bundle.Mode `toml:"mode"`
	// Weight is the share of arrivals.
	Weight float64 `toml:"weight"`
	// Token is the caller's bearer token.
	Token string `toml:"token"`
	// Timeout is the timeout of each send and goes to the entry as its deadline.
	Timeout settings.Duration `toml:"timeout"`
	// TopK is the number of hits requested; 0 selects the kind's default.
	TopK int32 `toml:"top_k"`
	// Text, if set, is the text of every search and the payload of every order. Otherwise each request
	// has a text with its sequence number.
	Text string `toml:"text"`
}

// LeafSettings names the control listener of a leaf stand-in.
type LeafSettings struct {
	ID      string `toml:"id"`
	Control string `toml:"control"`
	// Slots and Connections are the leaf's limits. With 0 the result isn't compared with the limit.
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
}

// ProcessSettings names the operator listener of a process.
type ProcessSettings struct {
	Name string `toml:"name"`
	// Role groups processes in the result, such as "entry".
	Role     string `toml:"role"`
	Operator string `toml:"operator"`
}

// DefaultSettings returns the settings that apply where the file sets nothing.
func DefaultSettings() Settings {
	return Settings{
		Log: settings.Log{Level: "info"},
		Load: RunSettings{
			Seed: 1, MaxRequests: 1_000_000, MaxInFlight: 20_000,
			Resend: ResendNone, MaxResends: 10,
		},
	}
}

// Check implements settings.Checked.
func (s *Settings) Check(c *settings.Checker) {
	s.Log.Check(c)
	s.Load.check(c)
	c.Require(len(s.Phases) > 0, "phase", "want at least one phase")
	var total time.Duration
	for i, p := range s.Phases {
		p.check(c, fmt.Sprintf("%d", i))
		total += p.Duration.D()
	}
	c.Require(total <= maxDuration, "phase.duration", "the phases together last %s, more than %s", total, maxDuration)
	c.Require(len(s.Mix) > 0, "mix", "want at least one kind")
	for _, m := range s.Mix {
		m.check(c)
	}
	for _, l := range s.Leaves {
		checkTarget(c, "leaf.control", l.Control)
	}
	for _, p := range s.Processes {
		checkTarget(c, "process.operator", p.Operator)
	}
}

func (s *RunSettings) check(c *settings.Checker) {
	c.Require(len(s.Entries) > 0, "load.entries", "want at least one IP:PORT")
	for _, e := range s.Entries {
		checkTarget(c, "load.entries", e)
	}
	for _, o := range s.Operators {
		checkTarget(c, "load.operators", o)
	}
	c.Require(len(s.Operators) == 0 || len(s.Operators) == len(s.Entries), "load.operators", "want one for each entry or none")
	c.Require(s.BalancerLag >= 0, "load.balancer_lag", "want 0 or more, got %s", s.BalancerLag.D())
	checkRange(c, "load.max_requests", s.MaxRequests, 1, maxRequests)
	checkRange(c, "load.max_in_flight", s.MaxInFlight, 1, maxInFlight)
	checkRange(c, "load.max_resends", s.MaxResends, 0, maxResends)
	switch s.Resend {
	case ResendNone, ResendAtOnce, ResendRetryAfter:
	default:
		c.Require(false, "load.resend", "want none, at_once or retry_after, got %q", s.Resend)
	}
}

func (p PhaseSettings) check(c *settings.Checker, index string) {
	c.Require(settings.ValidName(p.Name), "phase.name", "want a name in phase %s, got %q", index, p.Name)
	c.Require(p.Rate >= 0 && p.Rate <= maxRate, "phase.rate", "want 0 to %d, got %g", maxRate, p.Rate)
	c.Require(p.Duration > 0, "phase.duration", "want more than 0, got %s", p.Duration.D())
}

func (m MixSettings) check(c *settings.Checker) {
	c.Require(settings.ValidName(m.Service), "mix.service", "want a name, got %q", m.Service)
	c.Require(settings.ValidName(m.Kind), "mix.kind", "want a name, got %q", m.Kind)
	c.Require(m.Mode == bundle.ModeSearch || m.Mode == bundle.ModeOrder, "mix.mode", "want search or order, got %q", m.Mode)
	c.Require(m.Weight > 0, "mix.weight", "want more than 0, got %g", m.Weight)
	c.Require(m.Timeout > 0, "mix.timeout", "want more than 0, got %s", m.Timeout.D())
	c.Require(m.TopK >= 0, "mix.top_k", "want 0 or more, got %d", m.TopK)
}

func checkTarget(c *settings.Checker, key, address string) {
	if err := CheckTarget(address); err != nil {
		c.Require(false, key, "%s", err)
	}
}

func checkRange(c *settings.Checker, key string, v, low, high int) {
	c.Require(v >= low && v <= high, key, "want %d to %d, got %d", low, high, v)
}

// phases returns the schedule's phases.
func (s *Settings) phases() []Phase {
	var ps []Phase
	for _, p := range s.Phases {
		ps = append(ps, Phase{Name: p.Name, Rate: p.Rate, Duration: p.Duration.D()})
	}
	return ps
}

// weights returns the weights of the mix.
func (s *Settings) weights() []float64 {
	var ws []float64
	for _, m := range s.Mix {
		ws = append(ws, m.Weight)
	}
	return ws
}

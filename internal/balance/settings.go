package balance

import "github.com/burdockplank/burdockplank/internal/settings"

// The values of Settings.Policy.
const (
	PolicyAdaptive = "adaptive"
	// PolicyBaseline is for measurements only.
	PolicyBaseline = "baseline"
)

// Settings is the table [balance] of a gather's settings.
type Settings struct {
	// Policy is adaptive or baseline.
	Policy string `toml:"policy"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings { return Settings{Policy: PolicyAdaptive} }

// Check reports an unknown policy.
func (s Settings) Check(c *settings.Checker) {
	ok := s.Policy == PolicyAdaptive || s.Policy == PolicyBaseline
	c.Require(ok, "balance.policy", "want %s or %s, got %q", PolicyAdaptive, PolicyBaseline, s.Policy)
}

// New returns the Replicas of one service that implement the policy.
func (s Settings) New(clock Clock, random Random) Replicas {
	if s.Policy == PolicyBaseline {
		return NewBaseline(random)
	}
	return New(clock, random)
}

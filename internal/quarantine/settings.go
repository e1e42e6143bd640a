package quarantine

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Mode says when a request that no leaf has answered yet runs on one leaf first.
type Mode string

// The modes of the first run.
const (
	// ModeAlways is the only one that bounds the crashes of a request never seen before.
	ModeAlways Mode = "always"
	// ModeEvidence does so only while crash evidence of any request is recent.
	ModeEvidence Mode = "evidence"
	// ModeNever runs such requests on all shards at once.
	ModeNever Mode = "never"
)

// Settings is the table [quarantine] of burdock-gather.
type Settings struct {
	// FirstRun is always, evidence or never.
	FirstRun Mode `toml:"first_run"`
	// Age is how long crash evidence holds after it arose or the request was last sent.
	Age settings.Duration `toml:"age"`
	// Hold is how long a leaf that was lost takes no first run. It should pass the time in which
	// evidence spreads over the fleet, and the 300 ms that a gather may need to see a crash.
	Hold settings.Duration `toml:"hold"`
	// Remembered is how many proven requests are remembered.
	Remembered int `toml:"remembered"`
}

const (
	// crashesToQuarantine is at how many distinct crashes a request is refused, unless another
	// request explains them.
	crashesToQuarantine = 2
	// crashesToQuarantineAnswered is at how many crashes since its last answer, which no other request explains, one
	// is refused that a leaf has answered.
	crashesToQuarantineAnswered = 3
	// doubtPeriod is how long after a second crash evidence against another request is waited for.
	doubtPeriod = 300 * time.Millisecond
	// maxSuspects bounds the requests that crash evidence is kept of.
	maxSuspects = 4096
	// maxCrashesPerRequest bounds the crashes kept of one request.
	maxCrashesPerRequest = 8
)

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		FirstRun:   ModeAlways,
		Age:        settings.Duration(10 * time.Minute),
		Hold:       settings.Duration(1500 * time.Millisecond),
		Remembered: 65536,
	}
}

// Check refuses values out of range.
func (s Settings) Check(c *settings.Checker) {
	valid := s.FirstRun == ModeAlways || s.FirstRun == ModeEvidence || s.FirstRun == ModeNever
	c.Require(valid, "quarantine.first_run", "want always, evidence or never, got %q", s.FirstRun)
	c.Require(s.Age.D() >= time.Second && s.Age.D() <= 24*time.Hour, "quarantine.age", "want 1s to 24h, got %s", s.Age.D())
	c.Require(s.Hold.D() >= 0 && s.Hold.D() <= time.Minute, "quarantine.hold", "want 0s to 1m, got %s", s.Hold.D())
	c.Require(s.Remembered >= 1 && s.Remembered <= 1<<22, "quarantine.remembered", "want 1 to 4194304, got %d", s.Remembered)
}

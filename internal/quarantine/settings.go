package quarantine

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Mode says when a request that no leaf has answered yet runs on one leaf first.
type Mode string

// The modes of the first run.
const (
	// ModeAlways runs every such request on one leaf first. It is the only mode that bounds the crashes
	// caused by a request never seen before.
	ModeAlways Mode = "always"
	// ModeEvidence does so only while there is recent crash evidence against any request.
	ModeEvidence Mode = "evidence"
	// ModeNever runs such requests on all shards at once.
	ModeNever Mode = "never"
)

// Settings is the table [quarantine] of burdock-gather.
type Settings struct {
	// FirstRun is the mode of the first run: always, evidence or never.
	FirstRun Mode `toml:"first_run"`
	// Age is how long crash evidence is valid after the crash or after the request was last sent.
	Age settings.Duration `toml:"age"`
	// Hold is how long a leaf that was lost takes no first run. It should exceed the time in which
	// evidence spreads over the fleet plus the 300 ms that a gather may need to detect a crash.
	Hold settings.Duration `toml:"hold"`
	// Remembered is the maximum number of proven requests that are remembered.
	Remembered int `toml:"remembered"`
}

const (
	// crashesToQuarantine is the number of distinct crashes at which a request is refused, unless
	// another request explains them.
	crashesToQuarantine = 2
	// crashesToQuarantineAnswered is the number of crashes since its last answer at which a request
	// that a leaf has answered is refused. Crashes that another request explains are not counted.
	crashesToQuarantineAnswered = 3
	// doubtPeriod is how long after the second crash the refusal of a request that no leaf has answered
	// waits for evidence against another request.
	doubtPeriod = 300 * time.Millisecond
	// maxSuspects bounds the number of requests for which crash evidence is kept.
	maxSuspects = 4096
	// maxCrashesPerRequest bounds the number of crashes kept for one request.
	maxCrashesPerRequest = 8
)

// DefaultSettings returns the settings used where the table sets no value.
func DefaultSettings() Settings {
	return Settings{
		FirstRun:   ModeAlways,
		Age:        settings.Duration(10 * time.Minute),
		Hold:       settings.Duration(1500 * time.Millisecond),
		Remembered: 65536,
	}
}

// Check reports values out of range to c.
func (s Settings) Check(c *settings.Checker) {
	valid := s.FirstRun == ModeAlways || s.FirstRun == ModeEvidence || s.FirstRun == ModeNever
	c.Require(valid, "quarantine.first_run", "want always, evidence or never, got %q", s.FirstRun)
	c.Require(s.Age.D() >= time.Second && s.Age.D() <= 24*time.Hour, "quarantine.age", "want 1s to 24h, got %s", s.Age.D())
	c.Require(s.Hold.D() >= 0 && s.Hold.D() <= time.Minute, "quarantine.hold", "want 0s to 1m, got %s", s.Hold.D())
	c.Require(s.Remembered >= 1 && s.Remembered <= 1<<22, "quarantine.remembered", "want 1 to 4194304, got %d", s.Remembered)
}

// Package admission decides which requests run now, which wait and which are refused at once. Each
// service has a gate of its own, so that one sick service can't hold up another: a limit of
// concurrency that follows what the gathers answer, and a short bounded queue in which heavier kinds
// go first and callers take turns by share. Once the queue stands, rations by weight and share decide
// at the door, so that a refusal comes at once and what is let in is done.
//
// The gate is pure: the time is given to each call. Controller adds goroutines and timers.
package admission

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings of the duty, the same for each service.
type Settings struct {
	// MinConcurrency and MaxConcurrency bound the requests of one service that run at once at this
	// entry; equal values fix the limit. InitialConcurrency is where it starts.
	MinConcurrency     int `toml:"min_concurrency"`
	MaxConcurrency     int `toml:"max_concurrency"`
	InitialConcurrency int `toml:"initial_concurrency"`
	// Queue is how many requests of one service may wait.
	Queue int `toml:"queue"`
	// MaxWait is the longest wait in the queue.
	MaxWait settings.Duration `toml:"max_wait"`
	// OverloadAfter is how long the queue must not have been empty to count as overload, and
	// OverloadWait the wait that the rations then aim at.
	OverloadAfter settings.Duration `toml:"overload_after"`
	OverloadWait  settings.Duration `toml:"overload_wait"`
	// MaxRetryAfter is the longest wait told to a refused caller.
	MaxRetryAfter settings.Duration `toml:"max_retry_after"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		MinConcurrency: 4, MaxConcurrency: 512, InitialConcurrency: 16,
		Queue:         128,
		MaxWait:       settings.Duration(100 * time.Millisecond),
		OverloadAfter: settings.Duration(100 * time.Millisecond),
		OverloadWait:  settings.Duration(5 * time.Millisecond),
		MaxRetryAfter: settings.Duration(30 * time.Second),
	}
}

// The bounds of what may be set.
const (
	maxConcurrency = 100_000
	maxQueue       = 100_000
	maxWait        = 10 * time.Second
	maxRetryAfter  = 10 * time.Minute
)

// Check refuses settings out of range, under the table's name.
func (s Settings) Check(c *settings.Checker, table string) {
	c.Require(s.MinConcurrency >= 1 && s.MinConcurrency <= maxConcurrency,
		table+".min_concurrency", "want 1 to %d, got %d", maxConcurrency, s.MinConcurrency)
	c.Require(s.MaxConcurrency >= s.MinConcurrency && s.MaxConcurrency <= maxConcurrency,
		table+".max_concurrency", "want min_concurrency, %d, to %d, got %d", s.MinConcurrency, maxConcurrency, s.MaxConcurrency)
	c.Require(s.InitialConcurrency >= s.MinConcurrency && s.InitialConcurrency <= s.MaxConcurrency,
		table+".initial_concurrency", "want min_concurrency, %d, to max_concurrency, %d, got %d", s.MinConcurrency, s.MaxConcurrency, s.InitialConcurrency)
	c.Require(s.Queue >= 1 && s.Queue <= maxQueue, table+".queue", "want 1 to %d, got %d", maxQueue, s.Queue)
	checkTime(c, table+".max_wait", s.MaxWait.D(), maxWait)
	checkTime(c, table+".overload_after", s.OverloadAfter.D(), maxWait)
	checkTime(c, table+".overload_wait", s.OverloadWait.D(), s.MaxWait.D())
	checkTime(c, table+".max_retry_after", s.MaxRetryAfter.D(), maxRetryAfter)
}

func checkTime(c *settings.Checker, key string, d, maximum time.Duration) {
	c.Require(d >= time.Millisecond && d <= maximum, key, "want 1ms to %s, got %s", maximum, d)
}

// Package admission decides which requests run now, which wait and which are refused immediately. Each
// service has its own limiter, so that a faulty service can't delay another. A limiter consists of a
// concurrency limit that follows the gathers' answers, and a short bounded queue in which heavier kinds
// go first and callers share the slots by weighted fair queueing. Under overload, when the queue has not
// been empty for a while, quotas by weight and share decide on arrival, so that a refusal comes
// immediately and a request that is let in also completes.
//
// The limiter has no clock: each call passes the time. Controller adds mutexes, timers and waiting.
package admission

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings are the settings of admission, the same for each service.
type Settings struct {
	// MinConcurrency and MaxConcurrency bound the limit of requests of one service that run at once at
	// this entry; equal values fix the limit. InitialConcurrency is its initial value.
	MinConcurrency     int `toml:"min_concurrency"`
	MaxConcurrency     int `toml:"max_concurrency"`
	InitialConcurrency int `toml:"initial_concurrency"`
	// Queue is the maximum number of waiting requests of one service.
	Queue int `toml:"queue"`
	// MaxWait is the longest wait in the queue.
	MaxWait settings.Duration `toml:"max_wait"`
	// OverloadAfter is how long the queue must not have been empty to count as overload. OverloadWait
	// is the wait in the queue that the quotas then aim at.
	OverloadAfter settings.Duration `toml:"overload_after"`
	OverloadWait  settings.Duration `toml:"overload_wait"`
	// MaxRetryAfter is the longest retry-after time of a refusal.
	MaxRetryAfter settings.Duration `toml:"max_retry_after"`
}

// DefaultSettings returns the default settings.
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

// The bounds of the settings.
const (
	maxConcurrency = 100_000
	maxQueue       = 100_000
	maxWait        = 10 * time.Second
	maxRetryAfter  = 10 * time.Minute
)

// Check reports settings that are out of range. table is the name of the table that holds them.
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

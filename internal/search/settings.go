// Package search answers one search: it picks a snapshot, calls one replica of each shard, hedges and retries within
// budgets, merges the best hits and reports how much of the data they cover.
package search

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings is the table [search] of burdock-gather.
type Settings struct {
	// AnswerMargin is the minimum part of the caller's time reserved for the return of the answer before the
	// deadline. Of long deadlines a fixed share is reserved, which matters most when VMs are busy.
	AnswerMargin settings.Duration `toml:"answer_margin"`
	// MaxWaiting is how many searches of a service may wait for a free slot of a leaf. Further searches are refused.
	MaxWaiting int `toml:"max_waiting"`
	// Concurrency selects how the number of concurrent searches of a service is limited: adaptive, or unbounded for
	// measurements.
	Concurrency string `toml:"concurrency"`
	// QueueWait is how long a search may wait to be admitted before it is refused. Admitted searches may wait longer
	// for slots.
	QueueWait settings.Duration `toml:"queue_wait"`
	// RetryAfter is the delay reported to callers whose search ended for load or a lost upstream.
	RetryAfter settings.Duration `toml:"retry_after"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		AnswerMargin: settings.Duration(15 * time.Millisecond),
		MaxWaiting:   256,
		Concurrency:  ConcurrencyAdaptive,
		QueueWait:    settings.Duration(50 * time.Millisecond),
		RetryAfter:   settings.Duration(500 * time.Millisecond),
	}
}

// The values of Settings.Concurrency.
const (
	ConcurrencyAdaptive  = "adaptive"
	ConcurrencyUnbounded = "unbounded"
)

// Check reports the values that are out of range to c.
func (s Settings) Check(c *settings.Checker) {
	c.Require(s.AnswerMargin.D() >= 0 && s.AnswerMargin.D() <= time.Second, "search.answer_margin", "want 0s to 1s, got %s", s.AnswerMargin.D())
	c.Require(s.MaxWaiting >= 1 && s.MaxWaiting <= 100000, "search.max_waiting", "want 1 to 100000, got %d", s.MaxWaiting)
	c.Require(s.Concurrency == ConcurrencyAdaptive || s.Concurrency == ConcurrencyUnbounded, "search.concurrency",
		"want %s or %s, got %q", ConcurrencyAdaptive, ConcurrencyUnbounded, s.Concurrency)
	c.Require(s.QueueWait.D() >= 0 && s.QueueWait.D() <= time.Second, "search.queue_wait", "want 0s to 1s, got %s", s.QueueWait.D())
	c.Require(s.RetryAfter.D() >= 10*time.Millisecond && s.RetryAfter.D() <= time.Minute, "search.retry_after", "want 10ms to 1m, got %s", s.RetryAfter.D())
}

const (
	// marginDivisor sets the share of the remaining time that is reserved as margin, 1/32. marginCapDivisor caps the
	// margin of a short deadline, AnswerMargin included, at 1/4 of the remaining time.
	marginDivisor    = 32
	marginCapDivisor = 4
	// queueWaitDivisor sets the share of its time, 1/4, that a kind preferring coverage may wait at the limiter.
	queueWaitDivisor = 4
	// maxAttempts is how often one shard is called in one run, hedges and retries included.
	maxAttempts = 4
	// slotPollInterval is how often a search that waits for a slot polls for one without a wake-up.
	slotPollInterval = 20 * time.Millisecond
	// hedgePollInterval is the delay until a hedge that was refused is tried again.
	hedgePollInterval = 5 * time.Millisecond
	// missingSnapshotTTL is how long a leaf's refusal of a snapshot is remembered, whatever the leaf itself reports.
	missingSnapshotTTL = 2 * time.Second
)

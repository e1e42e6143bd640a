// Package search answers one search: it picks a snapshot, asks one replica of each shard, hedges
// and retries within budgets, merges the best hits and says how much of the data they cover.
package search

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings is the table [search] of burdock-gather.
type Settings struct {
	// AnswerMargin is the least that is kept of the caller's time so that the answer gets back before
	// the deadline. Of long deadlines a share is kept, which matters most when VMs are busy.
	AnswerMargin settings.Duration `toml:"answer_margin"`
	// MaxWaiting is how many searches of a service may wait for a free slot of a leaf; more are
	// refused.
	MaxWaiting int `toml:"max_waiting"`
	// Concurrency is adaptive, or unbounded for measurements: how many searches of a service run at once.
	Concurrency string `toml:"concurrency"`
	// QueueWait is how long a search may wait to be let in before it is refused; those let in may wait
	// longer for slots.
	QueueWait settings.Duration `toml:"queue_wait"`
	// RetryAfter is told to callers whose search ended for load or a lost upstream.
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

// Check refuses values out of range.
func (s Settings) Check(c *settings.Checker) {
	c.Require(s.AnswerMargin.D() >= 0 && s.AnswerMargin.D() <= time.Second, "search.answer_margin", "want 0s to 1s, got %s", s.AnswerMargin.D())
	c.Require(s.MaxWaiting >= 1 && s.MaxWaiting <= 100000, "search.max_waiting", "want 1 to 100000, got %d", s.MaxWaiting)
	c.Require(s.Concurrency == ConcurrencyAdaptive || s.Concurrency == ConcurrencyUnbounded, "search.concurrency",
		"want %s or %s, got %q", ConcurrencyAdaptive, ConcurrencyUnbounded, s.Concurrency)
	c.Require(s.QueueWait.D() >= 0 && s.QueueWait.D() <= time.Second, "search.queue_wait", "want 0s to 1s, got %s", s.QueueWait.D())
	c.Require(s.RetryAfter.D() >= 10*time.Millisecond && s.RetryAfter.D() <= time.Minute, "search.retry_after", "want 10ms to 1m, got %s", s.RetryAfter.D())
}

const (
	// marginDivisor is the part of the time left that is kept, marginMost the most that the least
	// margin may take of a short one.
	marginDivisor    = 32
	marginCapDivisor = 4
	// queueWaitDivisor is the part of its time that a kind weighing coverage may wait at the gate.
	queueWaitDivisor = 4
	// maxAttempts is how often one shard is asked in one run, hedge and retries included.
	maxAttempts = 4
	// slotPollInterval is how often a search that waits for a slot looks again by itself.
	slotPollInterval = 20 * time.Millisecond
	// hedgePollInterval is when a hedge that the budget refused is asked for again.
	hedgePollInterval = 5 * time.Millisecond
	// missingSnapshotTTL is how long a leaf's refusal of a snapshot is remembered beside what it says.
	missingSnapshotTTL = 2 * time.Second
)

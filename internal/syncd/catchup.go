package syncd

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/platform"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// startCatchUpTimeout bounds the time for which a newly started VM queries peers and platform
	// before it continues with what it has. resumeCatchUpTimeout bounds the same after a pause.
	startCatchUpTimeout  = 4 * time.Second
	resumeCatchUpTimeout = 2 * time.Second
	// platformTimeout is the time the platform has to answer if peers have answered.
	platformTimeout = time.Second
	// minSettleTime is the minimum time for which packets are ignored, so that those that waited
	// during a pause are read out of the socket first.
	minSettleTime = 100 * time.Millisecond
	// minQueryDelay and maxQueryDelay bound the random delay between rounds of queries.
	minQueryDelay = 100 * time.Millisecond
	maxQueryDelay = 300 * time.Millisecond
)

// runCatchUp queries peers and the platform at the start and after each pause.
func (m *Manager) runCatchUp(ctx context.Context) {
	limit := startCatchUpTimeout
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.catchUpDue:
		}
		m.catchUp(ctx, limit)
		limit = resumeCatchUpTimeout
	}
}

// catchUp returns when peers and platform have been queried, or when limit has passed: a VM that is
// cut off continues with the highest bundle it has seen.
func (m *Manager) catchUp(ctx context.Context, limit time.Duration) {
	pauses := m.spread.Pauses()
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if wait.For(limited, minSettleTime) {
		m.queryAll(limited)
	}
	if ctx.Err() != nil {
		return
	}
	m.spread.SetCaughtUp(pauses)
	m.publishOwnState(time.Now())
}

// queryAll queries the platform and the peers in parallel. It returns when peers have answered and
// the platform has answered or its timeout has passed, or when the platform has answered and there
// are no peers. Sections are fetched from peers first, because the platform counts its reads.
func (m *Manager) queryAll(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := make(chan []byte, 1)
	go func() { answer <- m.queryPlatform(ctx) }()
	deadline := time.NewTimer(platformTimeout)
	defer deadline.Stop()
	for {
		asked, answered := m.spread.QueryPeers(ctx)
		if answered > 0 || asked == 0 && len(answer) > 0 {
			break
		}
		if !wait.For(ctx, minQueryDelay+rand.N(maxQueryDelay-minQueryDelay)) {
			break
		}
	}
	if len(answer) == 0 {
		waitForAnswer(answer, deadline.C)
	}
	if len(answer) > 0 {
		m.applyAnswer(ctx, <-answer)
	}
}

// waitForAnswer returns when an answer is available or the deadline has passed.
func waitForAnswer(answer chan []byte, deadline <-chan time.Time) {
	select {
	case a := <-answer:
		answer <- a
	case <-deadline:
	}
}

// queryPlatform reads list and manifest once and retries with backoff until both are answered or
// ctx ends. The manifest is nil if there is none.
func (m *Manager) queryPlatform(ctx context.Context) (manifest []byte) {
	backoff := platform.Backoff{Max: maxManifestRetryDelay}
	for {
		manifest, ok := m.reader.readOnce(ctx)
		if ok || !wait.For(ctx, backoff.Next()) {
			return manifest
		}
	}
}

func (m *Manager) applyAnswer(ctx context.Context, manifest []byte) {
	if manifest == nil {
		return
	}
	if err := m.reader.applyManifest(ctx, manifest); err != nil {
		m.cfg.Log.Warn("bundle from the platform not available yet", zap.Error(err))
	}
}

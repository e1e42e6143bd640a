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
	// startCatchUpTimeout is how long a fresh VM asks peers and platform before it goes on with what it
	// has; resumeLimit is the same after a pause.
	startCatchUpTimeout  = 4 * time.Second
	resumeCatchUpTimeout = 2 * time.Second
	// platformTimeout is how long the platform has to answer where peers did.
	platformTimeout = time.Second
	// minSettleTime is how long packets are ignored at least, so that those which waited through a pause
	// are read out of the socket first.
	minSettleTime = 100 * time.Millisecond
	// minQueryDelay and askAgainMax bound the random wait between rounds of asking.
	minQueryDelay = 100 * time.Millisecond
	maxQueryDelay = 300 * time.Millisecond
)

// runCatchUp asks peers and the platform at the start and after each pause.
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

// catchUp returns when peers and platform were asked, or at the limit: a VM that is cut off goes on
// with the highest bundle it has seen.
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

// queryAll asks the platform and peers side by side, until peers answered and the platform had its
// time, or until the platform answered and there are no peers. Sections come from peers first: the
// platform counts its reads.
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

// waitForAnswer returns when an answer is there or it is late.
func waitForAnswer(answer chan []byte, deadline <-chan time.Time) {
	select {
	case a := <-answer:
		answer <- a
	case <-deadline:
	}
}

// queryPlatform reads list and manifest once, or until ctx ends. The manifest is nil where there is
// none.
func (m *Manager) queryPlatform(ctx context.Context) (manifest []byte) {
	backoff := platform.Backoff{Most: maxManifestRetryDelay}
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
		m.cfg.Log.Warn("bundle of the platform not had yet", zap.Error(err))
	}
}

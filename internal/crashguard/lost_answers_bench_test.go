package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// BenchmarkJudgement measures the judgement of a call whose request lost three connections, beside the suspects of others.
func BenchmarkJudgement(b *testing.B) {
	for _, suspects := range []int{100, 1600, 10000} {
		b.Run(fmt.Sprintf("%d suspects", suspects), func(b *testing.B) {
			changed := notify.New()
			fleet := peers.New(peers.Config{
				Self: "vm", Zone: "z", Incarnation: 1, Seeds: func() []string { return nil }, Mirror: mirror.New(changed), Changed: changed,
				Evidence: replica.New(), Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
			})
			for i := range 3 * suspects {
				leaf := catalog.LeafID{Name: fmt.Sprintf("i-%d", i%40)}
				fleet.ReportCrash(peers.Crash{Digest: uint64(i / 3), Leaf: leaf, At: time.Now(), Unconfirmed: true})
			}
			g := New(fleet, time.Now, zap.NewNop(), prometheus.NewRegistry())
			for b.Loop() {
				g.Suspect(1)
				g.Blocked(1)
			}
		})
	}
}

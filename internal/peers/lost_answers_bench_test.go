package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// BenchmarkLostAnswer measures what one more lost connection costs a VM and a peer that it tells, beside the suspects of others.
func BenchmarkLostAnswer(b *testing.B) {
	for _, suspects := range []int{100, 1600, 10000} {
		b.Run(fmt.Sprintf("%d suspects", suspects), func(b *testing.B) {
			n := newNetwork()
			x, _ := n.vm("x", "z", 1)
			y, _ := n.vm("y", "z", 1)
			for i := range 3 * suspects {
				x.ReportCrash(lossOf(i))
			}
			for len(y.Suspects()) < suspects || x.needsPush("y") {
				x.exchange(b.Context(), "y", true)
			}
			next := uint64(suspects)
			for b.Loop() {
				next++
				x.ReportCrash(Crash{Digest: next, Leaf: catalog.LeafID{Name: "i-1"}, At: time.Now(), Unconfirmed: true})
				x.exchange(b.Context(), "y", true)
				x.Confirmed()
				y.Confirmed()
			}
		})
	}
}

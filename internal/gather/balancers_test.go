package gather

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

func TestBalancersUseConfiguredPolicy(t *testing.T) {
	none := func(string) (upstream.State, bool) { return upstream.State{}, false }
	for policy, shown := range map[string]int{balance.PolicyAdaptive: 1, balance.PolicyBaseline: 0} {
		is := is.New(t)
		b := NewBalancers(balance.Settings{Policy: policy}, time.Now, func() float64 { return 0 }, none)
		is.Equal(b.For("s"), b.For("s"))
		is.Equal(len(b.All()), 1)
		is.Equal(len(b.Dump().(map[string]balance.Snapshot)), shown)
	}
}

package order

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

func TestResendsGetTheOneOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(noPeers{})
		text, err := b.ticketFor(t.Context())
		is.NoErr(err)
		var wg sync.WaitGroup
		var mu sync.Mutex
		fresh := 0
		for range 20 {
			wg.Go(func() {
				resp, err := b.Order(context.Background(), orderRequest(text, "p"))
				mu.Lock()
				defer mu.Unlock()
				is.NoErr(err)
				is.Equal(resp.GetOrder().GetResult(), "done:"+text)
				if !resp.GetOrder().GetReplayed() {
					fresh++
				}
			})
		}
		wg.Wait()
		is.Equal(fresh, 1)
		is.Equal(b.leaves.runsOf(text), 1)
	})
}

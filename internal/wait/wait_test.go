package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		is.True(For(ctx, time.Second))
		is.Equal(time.Since(begun), time.Second)
		is.True(For(ctx, 0))
		time.AfterFunc(time.Second, cancel)
		is.True(!For(ctx, time.Hour))
		is.Equal(time.Since(begun), 2*time.Second)
		is.True(!For(ctx, 0))
	})
}

package process

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

func TestRunnerDrainsThenStopsDutiesInReverse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var order []string
		duty := func(name string) Duty {
			return Duty{Name: name, Run: func(ctx context.Context) error {
				<-ctx.Done()
				order = append(order, name)
				return nil
			}}
		}
		r := Runner{
			Log: zap.NewNop(), DrainLimit: time.Minute, Duties: []Duty{duty("first"), duty("second")},
			Drain: func(context.Context) {
				time.Sleep(5 * time.Second)
				order = append(order, "drained")
			},
		}
		time.AfterFunc(time.Second, cancel)
		is.NoErr(r.run(ctx))
		is.Equal(order, []string{"drained", "second", "first"})
	})
}

func TestRunnerReturnsDutyError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		broken := errors.New("listen refused")
		r := Runner{
			Log:   zap.NewNop(),
			Drain: func(context.Context) { t.Error("drained after an error") },
			Duties: []Duty{
				{Name: "waits", Run: func(ctx context.Context) error { <-ctx.Done(); return nil }},
				{Name: "fails", Run: func(context.Context) error { return broken }},
			},
		}
		is.Equal(r.run(t.Context()), broken)
	})
}

func TestPauseDetectorDetectsLateTick(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := NewPauseDetector(100*time.Millisecond, 400*time.Millisecond)
	p.Observe(now)
	is.True(p.LastPause(now.Add(450 * time.Millisecond)).IsZero())
	woke := now.Add(2 * time.Second)
	is.Equal(p.LastPause(woke), woke)                           // detected by a request before the tick
	is.Equal(p.LastPause(woke.Add(100*time.Millisecond)), woke) // and not forgotten
}

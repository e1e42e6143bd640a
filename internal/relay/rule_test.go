package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/settings"
)

func TestEvaluate(t *testing.T) {
	delay := Rule{From: Any, To: Any, Delay: settings.Duration(time.Millisecond)}
	cases := []struct {
		name  string
		rules []Rule
		want  effect
	}{
		{"no rule", nil, effect{}},
		{"both named", []Rule{{From: "127.0.1.1", To: "127.0.1.2", Mode: ModeCut}}, effect{cut: true}},
		{"the other way round", []Rule{{From: "127.0.1.2", To: "127.0.1.1", Mode: ModeCut}}, effect{}},
		{"any source", []Rule{{From: Any, To: "127.0.1.2", Mode: ModeSilence}}, effect{silence: true}},
		{"any target", []Rule{{From: "127.0.1.1", To: Any, Mode: ModeSilence}}, effect{silence: true}},
		{"first mode and first delay", []Rule{delay, {From: Any, To: Any, Mode: ModeSilence}, {From: Any, To: Any, Mode: ModeCut}},
			effect{silence: true, delay: time.Millisecond}},
		{"new ones pass", []Rule{{From: Any, To: Any, Mode: ModeSilenceEstablished}}, effect{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(evaluate(c.rules, "127.0.1.1", "127.0.1.2"), c.want)
		})
	}
}

func TestRulesRefused(t *testing.T) {
	is := is.New(t)
	for _, r := range []Rule{
		{From: Any, To: Any, Mode: "quiet"},
		{From: "host", To: Any},
		{From: Any},
		{From: Any, To: Any, Delay: -1},
	} {
		is.True(r.check() != nil)
	}
	good := Rule{From: "127.0.1.1", To: Any, Mode: ModeCut}
	is.NoErr(good.check())
}

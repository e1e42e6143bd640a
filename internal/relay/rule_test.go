package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/settings"
)

func TestJudge(t *testing.T) {
	delay := Rule{From: Any, To: Any, Delay: settings.Duration(time.Millisecond)}
	cases := []struct {
		name  string
		rules []Rule
		want  verdict
	}{
		{"no rule", nil, verdict{}},
		{"both named", []Rule{{From: "127.0.1.1", To: "127.0.1.2", Mode: ModeCut}}, verdict{cut: true}},
		{"the other way round", []Rule{{From: "127.0.1.2", To: "127.0.1.1", Mode: ModeCut}}, verdict{}},
		{"any source", []Rule{{From: Any, To: "127.0.1.2", Mode: ModeSilence}}, verdict{silence: true}},
		{"any target", []Rule{{From: "127.0.1.1", To: Any, Mode: ModeSilence}}, verdict{silence: true}},
		{"first mode and first delay", []Rule{delay, {From: Any, To: Any, Mode: ModeSilence}, {From: Any, To: Any, Mode: ModeCut}},
			verdict{silence: true, delay: time.Millisecond}},
		{"new ones pass", []Rule{{From: Any, To: Any, Mode: ModeSilenceEstablished}}, verdict{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(judge(c.rules, "127.0.1.1", "127.0.1.2"), c.want)
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

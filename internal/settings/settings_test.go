package settings

import (
	"testing"

	"github.com/matryer/is"
)

type sample struct {
	VM    VM       `toml:"vm"`
	Log   Log      `toml:"log"`
	Wait  Duration `toml:"wait"`
	Ports struct {
		Low  int `toml:"low"`
		High int `toml:"high"`
	} `toml:"ports"`
}

func (s *sample) Check(c *Checker) {
	s.VM.Check(c)
	s.Log.Check(c)
	c.Require(s.Ports.Low <= s.Ports.High, "ports.low", "above ports.high (%d)", s.Ports.High)
}

const good = `wait = "250ms"
[vm]
id = "vm-1"
zone = "az-1"
bind = "127.0.1.1"
[log]
level = "info"
`

func TestParseNamesFileLineAndKey(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"good", good, ""},
		{"unknown key", good + "colour = 1\n", "f.toml:8: log.colour: unknown key"},
		{"wrong type", "wait = 3\n" + good[len("wait = \"250ms\"\n"):], `f.toml:1: wait: cannot decode TOML integer into struct field settings.sample.Wait of type settings.Duration`},
		{"bad duration", "wait = \"soon\"\n" + good[len("wait = \"250ms\"\n"):], `f.toml:1: wait: not a duration such as "250ms": "soon"`},
		{"out of range", good + "[ports]\nlow = 9\nhigh = 3\n", "f.toml:9: ports.low: above ports.high (3)"},
		{"absent", "[log]\nlevel = \"info\"\n", `f.toml: vm.id: want a name of a-z, 0-9, '.' and '-', got ""`},
		{"not TOML", "wait = \n", "f.toml:1: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s sample
			err := Parse("f.toml", []byte(c.text), &s)
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			if c.name == "not TOML" {
				is.Equal(err.Error()[:len(c.want)], c.want)
				return
			}
			is.Equal(err.Error(), c.want)
		})
	}
}

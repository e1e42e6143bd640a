package settings

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

type fakeSettings struct {
	VM    VM         `toml:"vm"`
	Wait  Duration   `toml:"wait"`
	Peers []fakePeer `toml:"peer"`
}

type fakePeer struct {
	Name  string `toml:"name"`
	Ports []int  `toml:"ports"`
}

func (f *fakeSettings) Check(c *Checker) {
	f.VM.Check(c)
	c.Require(f.Wait > 0, "wait", "want more than 0")
	for i, p := range f.Peers {
		key := []string{"peer[0].name", "peer[1].name"}[i]
		c.Require(ValidName(p.Name), key, "want a name, got %q", p.Name)
	}
}

const goodSettings = `wait = "2s"
[vm]
id = "vm-1"
zone = "az-1"
bind = "127.0.1.1"
[[peer]]
name = "a"
[[peer]]
name = "b"
`

func TestParseErrorsNameFileLineAndKey(t *testing.T) {
	tests := []struct {
		name, text string
		want       Error
	}{
		{"bad TOML", "wait = \n", Error{Line: 1}},
		{"unknown key", goodSettings + "port = 1\n", Error{Line: 10, Key: "peer.port"}},
		{"key in upper case", "Wait = \"1s\"\n" + goodSettings, Error{Line: 1, Key: "Wait"}},
		{"upper case in an inline table", "wait = \"1s\"\npeer = [{name = \"a\"}, {Name = \"b\"}]\n", Error{Line: 2, Key: "peer[1].Name"}},
		{"wrong type", "wait = \"1s\"\n[vm]\nid = 7\n", Error{Line: 3, Key: "vm.id"}},
		{"duration as a number", "wait = 2\n", Error{Line: 1, Key: "wait"}},
		{"not a duration", "# c\nwait = \"2 s\"\n", Error{Line: 2, Key: "wait"}},
		{"out of range", "wait = \"0s\"\n" + goodSettings[len("wait = \"2s\"\n"):], Error{Line: 1, Key: "wait"}},
		{"left out", goodSettings[:len(goodSettings)-len("[[peer]]\nname = \"b\"\n")] + "[[peer]]\n", Error{Key: "peer[1].name"}},
		{"first of two", "wait = \"2s\"\n[vm]\nid = \"v\"\nzone = \"z\"\nbind = \"127.0.0.1\"\n[[peer]]\nname = \"A\"\n[[peer]]\nname = \"b\"\n",
			Error{Line: 7, Key: "peer[0].name"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := Parse("f.toml", []byte(tt.text), new(fakeSettings))
			var se *Error
			is.True(errors.As(err, &se))
			t.Log(err)
			is.Equal(se.File, "f.toml")
			is.Equal(se.Line, tt.want.Line)
			is.Equal(se.Key, tt.want.Key)
			is.True(se.Reason != "")
		})
	}
}

func TestParse(t *testing.T) {
	is := is.New(t)
	var s fakeSettings
	is.NoErr(Parse("f.toml", []byte(goodSettings), &s))
	is.Equal(s.Wait.D(), 2*time.Second)
	is.Equal(s.VM.Advertised(), "127.0.1.1")
}

package load

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/settings"
)

func TestTargetsOffLoopbackAreRefused(t *testing.T) {
	for address, ok := range map[string]bool{
		"127.0.0.1:7400": true, "127.9.8.7:1": true, "[::1]:7400": true,
		"10.0.0.1:7400": false, "localhost:7400": false, "127.0.0.1": false, "0.0.0.0:7400": false, "": false,
	} {
		is := is.New(t)
		var refused *TargetError
		_, err := NewConnectSender([]string{address})
		is.Equal(err == nil, ok) // address
		is.Equal(errors.As(err, &refused), !ok)
	}
}

func TestSettingsNameTheRefusedKey(t *testing.T) {
	for want, edit := range map[string][2]string{
		"load.entries":   {`"127.0.0.1:7400"`, `"192.0.2.1:7400"`},
		"phase.rate":     {`rate = 100.0`, `rate = -1.0`},
		"phase.duration": {`"10s"`, `"2h"`},
		"mix.mode":       {`"search"`, `"scan"`},
		"mix.timeout":    {`"1s"`, `"0s"`},
		"load.resend":    {`max_resends = 3`, `resend = "often"`},
		"unknown key":    {`max_resends = 3`, `max_resend = 3`},
	} {
		is := is.New(t)
		s := DefaultSettings()
		err := settings.Parse("load.toml", []byte(strings.Replace(testSettings, edit[0], edit[1], 1)), &s)
		is.True(err != nil && strings.Contains(err.Error(), want)) // the error names the key
	}
}

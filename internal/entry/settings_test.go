package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/settings"
)

func TestInvalidSettingsAreReportedWithLineAndKey(t *testing.T) {
	const good = "[vm]\nid = \"vm-1\"\nzone = \"az-1\"\n"
	for text, want := range map[string]string{
		good:                                    "",
		good + "[entry]\nport = 0\n":            "f:5: entry.port: want a port from 1 to 65535, got 0",
		good + "[entry]\nmax_body_bytes = 1\n":  "f:5: entry.max_body_bytes: want 1024 to 16777216, got 1",
		good + "[entry]\nbody_timeout = \"0s\"": "f:5: entry.body_timeout: want 1ms to 10m0s, got 0s",
		good + "[sync]\naddress = \"here\"\n":   `f:5: sync.address: want IP:PORT, got "here"`,
		good + "[drain]\nlimit = \"5s\"\n":      "f:5: drain.limit: want more than drain.balancer_lag, 5s, got 5s",
		good + "[admission]\nqueue = 0\n":       "f:5: admission.queue: want 1 to 100000, got 0",
		good + "[admission]\ncolour = 1\n":      "f:5: admission.colour: unknown key",
	} {
		is := is.New(t)
		err := settings.Parse("f", []byte(text), DefaultSettings())
		if want == "" {
			is.NoErr(err)
			continue
		}
		is.True(err != nil)
		is.Equal(err.Error(), want)
	}
}

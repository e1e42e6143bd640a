package syncd

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/settings"
)

const goodSettings = `[vm]
id = "vm-1"
zone = "az-1"
bind = "127.0.0.1"
[sync]
fleet = "demo"
[platform]
address = "127.0.0.2:8500"
[trust]
threshold = 1
[[trust.reviewer]]
key_id = "139e3940e64b5491"
public_key = "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik="
`

func TestSettings(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"good", "", "", ""},
		{"seeds", `fleet = "demo"`, "fleet = \"demo\"\nseeds = [\"127.0.0.3:7402\"]", ""},
		{"seed by name", `fleet = "demo"`, "fleet = \"demo\"\nseeds = [\"host:7402\"]", "file:7: sync.seeds: want IP:PORT"},
		{"no fleet", `fleet = "demo"`, "", "file: sync.fleet: want a name"},
		{"port", `fleet = "demo"`, "fleet = \"demo\"\nport = 0", "file:7: sync.port: want a port"},
		{"any address", `bind = "127.0.0.1"`, `bind = "0.0.0.0"`, "file:4: vm.bind: want the VM's own IP number"},
		{"platform by name", "127.0.0.2:8500", "platform:8500", "file:8: platform.address: want IP:PORT"},
		{"threshold too high", "threshold = 1", "threshold = 2", "file:10: trust.threshold: 2 can't be met"},
		{"drain", `[sync]`, "[drain]\nlimit = \"-1s\"\n[sync]", "file:6: drain.limit: want 0s to"},
		{"unknown key", `fleet = "demo"`, "fleet = \"demo\"\nfleets = 1", "file:7: sync.fleets: unknown key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := settings.Parse("file", []byte(strings.Replace(goodSettings, tt.old, tt.new, 1)), DefaultSettings())
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), tt.want))
		})
	}
}

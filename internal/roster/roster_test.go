package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/peers"
)

// A VM that is silent is remembered, with what was last known of it, until it has been silent for the retention.
func TestSilentVMsAreRemembered(t *testing.T) {
	is := is.New(t)
	r, now := New(), time.Now()
	one, two := peers.VM{Address: "1", Zone: "a", Millicores: 200}, peers.VM{Address: "2", Zone: "b"}
	is.Equal(len(r.Update([]peers.VM{one, two}, now)), 2)
	is.Equal(len(r.Update(nil, now.Add(retention))), 2)
	larger := one
	larger.Millicores = 800
	now = now.Add(retention)
	is.Equal(len(r.Update([]peers.VM{larger}, now)), 2)
	is.Equal(r.Update(nil, now.Add(time.Second)), []peers.VM{larger})
}

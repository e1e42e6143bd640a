package capacity

import (
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

// Guards the cost measured per change: a new version must change exactly three sections, the version itself and
// two services.
func TestOneVersionChangesThreeSections(t *testing.T) {
	is := is.New(t)
	before, after := bundleText(4), bundleText(5)
	b, err := bundle.Parse(after)
	is.NoErr(err)
	leaves := 0
	for _, s := range b.Services {
		leaves += len(s.Leaves)
	}
	is.Equal(leaves, 3100)
	previous := make(map[bundle.Digest]bool)
	for _, s := range bundle.Split(before) {
		previous[bundle.SectionDigest(s)] = true
	}
	changed := 0
	for _, s := range bundle.Split(after) {
		if !previous[bundle.SectionDigest(s)] {
			changed++
		}
	}
	is.Equal(changed, 3)
}

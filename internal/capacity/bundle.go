package capacity

import (
	"crypto/ed25519"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/standin/platform"
)

// Size of the bundle expected in two years: 31 services of 100 leaves, with two replicas per shard and three
// snapshots.
const (
	services            = 31
	leavesPerService    = 100
	snapshotsPerService = 3
)

// bundleText returns the text of a bundle with 3,100 leaves. Two services change from one version to the next:
// one gets a timeout of its own, the one before returns to the common timeout.
func bundleText(version uint64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version = %d\n[[caller]]\nname = \"desk\"\ntoken_sha256 = %q\nservices = [\"s0\"]\n", version, strings.Repeat("a", 64))
	for s := range services {
		timeout := 77
		if s == int(version)%services {
			timeout += int(version)
		}
		fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\n[[service.kind]]\nname = \"k\"\nmode = \"search\"\ntimeout = \"%dms\"\n", s, timeout)
		for l := range leavesPerService {
			fmt.Fprintf(&b, "[[service.leaf]]\nid = \"leaf-s%d-%d\"\nzone = \"az-%d\"\naddress = \"10.%d.0.%d:9001\"\nslots = 3\nconnections = 30\n", s, l, l%4+1, s, l)
		}
		for v := 1; v <= snapshotsPerService; v++ {
			fmt.Fprintf(&b, "[[service.snapshot]]\nversion = %d\n", v)
			for sh := range leavesPerService / 2 {
				fmt.Fprintf(&b, "[[service.snapshot.shard]]\nid = %d\ndocuments = 1000000\nleaves = [\"leaf-s%d-%d\", \"leaf-s%d-%d\"]\n", sh, s, 2*sh, s, 2*sh+1)
			}
		}
	}
	return []byte(b.String())
}

// publishBundle publishes a version on the platform, the sections before the manifest. It returns the length of
// its text in bytes.
func publishBundle(p *platform.Platform, key ed25519.PrivateKey, version uint64) (int, error) {
	text := bundleText(version)
	signed, err := bundle.Sign(text, bundle.Digest{}, key)
	if err != nil {
		return 0, err
	}
	for _, s := range bundle.Split(text) {
		p.PutKey("bundle/section/"+bundle.SectionDigest(s).String(), s)
	}
	encoded, err := proto.Marshal(signed)
	if err != nil {
		return 0, err
	}
	p.PutKey("bundle/manifest", encoded)
	return len(text), nil
}

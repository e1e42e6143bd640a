package bundle

import (
	"fmt"
	"strings"
	"testing"
)

// fleetText returns the text of a bundle with 3,100 leaves in 31 services, close to a megabyte.
func fleetText(version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = %d\n", version)
	fmt.Fprintf(&b, "[[caller]]\nname = \"desk\"\ntoken_sha256 = %q\nservices = [\"s0\"]\n", strings.Repeat("a", 64))
	for s := range 31 {
		fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\n[[service.kind]]\nname = \"k\"\nmode = \"search\"\ntimeout = \"77ms\"\n", s)
		for l := range 100 {
			fmt.Fprintf(&b, "[[service.leaf]]\nid = \"leaf-s%d-%d\"\nzone = \"az-%d\"\naddress = \"10.%d.0.%d:9001\"\nslots = 3\nconnections = 30\n",
				s, l, l%4, s, l)
		}
		for v := 1; v <= 3; v++ {
			fmt.Fprintf(&b, "[[service.snapshot]]\nversion = %d\n", v)
			for sh := range 50 {
				fmt.Fprintf(&b, "[[service.snapshot.shard]]\nid = %d\ndocuments = 1000000\nleaves = [\"leaf-s%d-%d\", \"leaf-s%d-%d\"]\n",
					sh, s, 2*sh, s, 2*sh+1)
			}
		}
	}
	return b.String()
}

// BenchmarkParse parses a bundle of the size expected in two years.
func BenchmarkParse(b *testing.B) {
	text := []byte(fleetText(1))
	b.SetBytes(int64(len(text)))
	b.ReportMetric(float64(len(text)), "text-bytes")
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply verifies and applies a bundle of that size.
func BenchmarkApply(b *testing.B) {
	c := signedCandidate(1, Digest{}, fleetText(1), reviewer(1))
	for b.Loop() {
		s := NewStore(trustOf(1, reviewer(1)), nil)
		if err := s.Apply(c.signed, c.text); err != nil {
			b.Fatal(err)
		}
	}
}

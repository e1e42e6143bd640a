package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// MaxSectionBytes is the largest size of a section, which is the platform's limit of a value, 1 MiB.
const MaxSectionBytes = 1 << 20

// emptySHA256 is the SHA-256 of the empty string.
var emptySHA256 = Digest(sha256.Sum256(nil))

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest is zero, which means none.
func (d Digest) IsZero() bool { return d == Digest{} }

// ParseDigest reads a digest in hex.
func ParseDigest(text string) (d Digest, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, fmt.Errorf("want a digest of 64 hex digits, got %q", text)
	}
	return Digest(raw), nil
}

// SectionDigest returns the digest that names a section.
func SectionDigest(section []byte) Digest { return sha256.Sum256(section) }

// The table headers before which a text is split. Tables may come in any order.
var (
	callerHeader   = []byte("[[caller]]")
	serviceHeader  = []byte("[[service]]")
	snapshotHeader = []byte("[[service.snapshot]]")
)

// Split splits a text into sections: before the first caller, each service and each snapshot. The
// concatenation of the sections is the text. The rule is part of the format: every release must
// split at the same places.
func Split(text []byte) [][]byte {
	var sections [][]byte
	start, callers := 0, false
	for offset := 0; offset < len(text); offset = nextLine(text, offset) {
		line := text[offset:]
		isCaller := bytes.HasPrefix(line, callerHeader)
		cut := isCaller && !callers || bytes.HasPrefix(line, serviceHeader) || bytes.HasPrefix(line, snapshotHeader)
		callers = callers || isCaller
		if cut && offset > start {
			sections = append(sections, text[start:offset])
			start = offset
		}
	}
	return append(sections, text[start:])
}

// nextLine returns the offset after the first line break from offset at on, or the length of the text.
func nextLine(text []byte, at int) int {
	n := bytes.IndexByte(text[at:], '\n')
	if n < 0 {
		return len(text)
	}
	return at + n + 1
}

// Assemble joins the manifest's sections to the text. The sections may be in any order, and ones that
// the manifest does not name are ignored. It returns an error if a section is missing or the text is
// longer than MaxTextBytes.
func Assemble(m *pb.Manifest, sections [][]byte) ([]byte, error) {
	byDigest := make(map[Digest][]byte, len(sections))
	for _, s := range sections {
		byDigest[SectionDigest(s)] = s
	}
	var text []byte
	for i, raw := range m.GetSections() {
		if len(raw) != len(Digest{}) {
			return nil, fmt.Errorf("section %d: digest of %d bytes", i, len(raw))
		}
		s, ok := byDigest[Digest(raw)]
		if !ok {
			return nil, fmt.Errorf("section %d, %s, is missing", i, Digest(raw))
		}
		if len(text)+len(s) > MaxTextBytes {
			return nil, fmt.Errorf("text is longer than %d bytes", MaxTextBytes)
		}
		text = append(text, s...)
	}
	return text, nil
}

// checkSections returns an error if the sections of text differ from the manifest's.
func checkSections(m *pb.Manifest, text []byte) error {
	sections := Split(text)
	if len(sections) != len(m.GetSections()) {
		return fmt.Errorf("text has %d sections, manifest names %d", len(sections), len(m.GetSections()))
	}
	for i, s := range sections {
		if d := SectionDigest(s); !bytes.Equal(d[:], m.GetSections()[i]) {
			return fmt.Errorf("section %d has digest %s, manifest names %x", i, d, m.GetSections()[i])
		}
	}
	return nil
}

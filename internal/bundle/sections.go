package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// MaxSectionBytes is the longest section: the platform's values end at a mebibyte.
const MaxSectionBytes = 1 << 20

// emptySHA256 is the SHA-256 of no bytes.
var emptySHA256 = Digest(sha256.Sum256(nil))

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero tells whether the digest stands for none.
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

// The lines before which a text is cut. Their order in the text is free.
var (
	callerHeader   = []byte("[[caller]]")
	serviceHeader  = []byte("[[service]]")
	snapshotHeader = []byte("[[service.snapshot]]")
)

// Split cuts a text into sections: before the first caller, each service and each snapshot. The
// concatenation of the sections is the text. The rule is part of the format: every release must
// cut alike.
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

// nextLine returns the offset after the line break that follows at, or the text's end.
func nextLine(text []byte, at int) int {
	n := bytes.IndexByte(text[at:], '\n')
	if n < 0 {
		return len(text)
	}
	return at + n + 1
}

// Assemble puts the manifest's sections together, whatever order they come in and whatever else is
// among them. It refuses a missing section and a text that is too long.
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

// checkSections refuses a text that is not the one the manifest names.
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

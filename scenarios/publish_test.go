package scenarios

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/standin/platform"
)

// publish signs a bundle's text, with the newest fully signed bundle as its parent, and stores it on the
// platform, sections first.
func (f *fleet) publish(text string, signers []reviewer) error {
	b, parseErr := bundle.Parse([]byte(text))
	var keys []ed25519.PrivateKey
	for _, r := range signers {
		keys = append(keys, r.key)
	}
	signed, err := signManifest(text, f.bundleDigest, b, keys)
	if err != nil {
		return err
	}
	manifest, err := proto.Marshal(signed)
	if err != nil {
		return err
	}
	for _, s := range bundle.Split([]byte(text)) {
		url := f.platformURL("/keys/bundle/section/" + bundle.SectionDigest(s).String())
		if err := put(url, s); err != nil {
			return err
		}
	}
	m := &pb.Manifest{}
	if err := proto.Unmarshal(signed.GetManifest(), m); err != nil {
		return err
	}
	f.offeredDigest = bundle.ManifestDigest(signed.GetManifest())
	f.publishedAt[m.GetVersion()] = time.Now()
	if f.revisions[m.GetVersion()], err = putKey(f.platformURL("/keys/bundle/manifest"), manifest); err != nil {
		return err
	}
	if slices.Equal(reviewerIDs(signers), reviewerIDs(f.reviewers)) && parseErr == nil {
		f.bundleText, f.bundleDigest, f.bundles[b.Version] = text, bundle.ManifestDigest(signed.GetManifest()), b
	}
	return nil
}

// signManifest returns the signed manifest of a text. It also signs an invalid text, for which parsed is
// nil, and signs with the same key twice, as reviewers could without the tool that refuses to.
func signManifest(text string, parent bundle.Digest, parsed *bundle.Bundle, keys []ed25519.PrivateKey) (*pb.SignedManifest, error) {
	if parsed != nil && !hasDuplicate(keys) {
		return bundle.Sign([]byte(text), parent, keys...)
	}
	var version uint64
	if _, err := fmt.Sscanf(text, "version = %d", &version); err != nil {
		return nil, err
	}
	m := &pb.Manifest{Version: version, Parent: parent[:]}
	for _, s := range bundle.Split([]byte(text)) {
		d := bundle.SectionDigest(s)
		m.Sections = append(m.Sections, d[:])
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	signed := &pb.SignedManifest{Manifest: encoded}
	for _, k := range keys {
		one := &pb.SignedManifest{Manifest: encoded}
		if err := bundle.AddSignature(one, k); err != nil {
			return nil, err
		}
		signed.Signatures = append(signed.Signatures, one.Signatures...)
	}
	return signed, nil
}

// hasDuplicate reports whether a key occurs twice. bundle.Sign would drop the second signature.
func hasDuplicate(keys []ed25519.PrivateKey) bool {
	seen := make(map[string]bool)
	for _, k := range keys {
		if seen[string(k)] {
			return true
		}
		seen[string(k)] = true
	}
	return false
}

func reviewerIDs(rs []reviewer) []string {
	var ids []string
	for _, r := range rs {
		ids = append(ids, r.id)
	}
	return ids
}

// parseSigners parses a list of reviewers by number, such as 1,2. "stranger" is a signer that no process
// trusts.
func (f *fleet) parseSigners(list string) ([]reviewer, error) {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = 99
	key := ed25519.NewKeyFromSeed(seed)
	var all []reviewer
	for _, w := range strings.Split(list, ",") {
		if w == "stranger" {
			all = append(all, reviewer{id: bundle.KeyID(key.Public().(ed25519.PublicKey)), key: key})
			continue
		}
		n, err := strconv.Atoi(w)
		if err != nil || n < 1 || n > len(f.reviewers) {
			return nil, fmt.Errorf("by=%s: want numbers of reviewers, or stranger", list)
		}
		all = append(all, f.reviewers[n-1])
	}
	return all, nil
}

// putKey stores a value on the platform and returns its revision.
func putKey(url string, body []byte) (uint64, error) {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return 0, err
	}
	revision := res.Header.Get(platform.HeaderRevision)
	if _, err := readBody(res); err != nil {
		return 0, err
	}
	return strconv.ParseUint(revision, 10, 64)
}

// padBundle adds callers to a bundle's text until it has at least size bytes.
func padBundle(text string, size int) string {
	head, tail, _ := strings.Cut(text, "[[service]]")
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len()+len(tail) < size; i++ {
		fmt.Fprintf(&b, "[[caller]]\nname = \"desk-%d\"\ntoken_sha256 = %q\nservices = [%q]\nrate = 1.0\nburst = 1\nshare = 1\n",
			i, tokenHash(fmt.Sprint("token of desk ", i)), serviceName)
	}
	return b.String() + "[[service]]" + tail
}

var versionLine = regexp.MustCompile(`(?m)^version = \d+\n\[limits\]`)

// editBundle returns the newest bundle text with the version, the snapshots if given, and the edits, each
// "OLD -> NEW". An edit whose OLD does not occur is an error.
func (f *fleet) editBundle(version uint64, snapshots string, edits []string) (string, error) {
	text := f.bundleText
	if snapshots != "" {
		text = f.layout.bundleText(version, strings.Split(snapshots, ","), f.leaves)
	}
	text = versionLine.ReplaceAllString(text, fmt.Sprintf("version = %d\n[limits]", version))
	for _, e := range edits {
		from, to, ok := strings.Cut(e, " -> ")
		if !ok || !strings.Contains(text, from) {
			return "", fmt.Errorf("edit %q: want \"OLD -> NEW\" with OLD in the bundle", e)
		}
		text = strings.ReplaceAll(text, from, to)
	}
	return text, nil
}

package scenarios

import (
	"crypto/ed25519"
	"fmt"
	"regexp"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// publish signs a bundle's text as the child of the newest published one and puts it on the
// platform, sections first.
func (f *fleet) publish(text string, signers []reviewer) error {
	var keys []ed25519.PrivateKey
	for _, r := range signers {
		keys = append(keys, r.key)
	}
	b, parseErr := bundle.Parse([]byte(text))
	signed, err := sign(text, f.digest, b, keys)
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
	if err := put(f.platformURL("/keys/bundle/manifest"), manifest); err != nil {
		return err
	}
	if len(signers) == len(f.reviewers) && parseErr == nil {
		f.text, f.digest, f.bundles[b.Version] = text, bundle.ManifestDigest(signed.GetManifest()), b
	}
	return nil
}

// sign makes the signed manifest of a text. One that can't work, for which parsed is nil, is signed
// all the same, as by reviewers who don't use the tool that refuses it.
func sign(text string, parent bundle.Digest, parsed *bundle.Bundle, keys []ed25519.PrivateKey) (*pb.SignedManifest, error) {
	if parsed != nil {
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
		if err := bundle.AddSignature(signed, k); err != nil {
			return nil, err
		}
	}
	return signed, nil
}

var versionLine = regexp.MustCompile(`(?m)^version = \d+\n\[limits\]`)

// edited returns the newest text with another version and the edits made, each "OLD -> NEW". An
// edit whose OLD isn't there is an error.
func (f *fleet) edited(version uint64, snapshots string, edits []string) (string, error) {
	text := f.text
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

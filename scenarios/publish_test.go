package scenarios

import (
	"crypto/ed25519"
	"fmt"
	"regexp"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

// publish signs a bundle's text as the child of the newest published one and puts it on the
// platform, sections first.
func (f *fleet) publish(text string, signers []reviewer) error {
	var keys []ed25519.PrivateKey
	for _, r := range signers {
		keys = append(keys, r.key)
	}
	signed, err := bundle.Sign([]byte(text), f.digest, keys...)
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
	if len(signers) == len(f.reviewers) {
		f.text, f.digest = text, bundle.ManifestDigest(signed.GetManifest())
		if b, err := bundle.Parse([]byte(text)); err == nil { // one that can't work is refused by all
			f.bundles[b.Version] = b
		}
	}
	return nil
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

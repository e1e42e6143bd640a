package ctl

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// Names and permissions of the files of a signed bundle. Operators publish the files under the platform's
// keys bundle/manifest and bundle/section/DIGEST.
const (
	manifestFile = "manifest"
	sectionsDir  = "sections"
	fileMode     = 0o644
	dirMode      = 0o755
)

// signedBundle is a signed bundle read from a directory. Its signatures are not verified.
type signedBundle struct {
	signed *pb.SignedManifest
	text   []byte
}

// writeBundle writes the files of a signed bundle to dir. It writes the sections first and then puts the
// manifest in place with an atomic rename, so that a directory with a manifest is complete.
func writeBundle(dir string, signed *pb.SignedManifest, text []byte) error {
	if err := os.MkdirAll(filepath.Join(dir, sectionsDir), dirMode); err != nil {
		return eris.Wrap(err, "ctl.sign")
	}
	for _, s := range bundle.Split(text) {
		file := filepath.Join(dir, sectionsDir, bundle.SectionDigest(s).String())
		if err := os.WriteFile(file, s, fileMode); err != nil {
			return eris.Wrap(err, "ctl.sign")
		}
	}
	data, err := proto.Marshal(signed)
	if err != nil {
		return eris.Wrap(err, "ctl.sign: encode")
	}
	temporary := filepath.Join(dir, "."+manifestFile)
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return eris.Wrap(err, "ctl.sign")
	}
	return eris.Wrap(os.Rename(temporary, filepath.Join(dir, manifestFile)), "ctl.sign")
}

// readManifest reads the signed manifest in dir. It does not verify the signatures.
func readManifest(dir string) (*pb.SignedManifest, error) {
	data, err := os.ReadFile(filepath.Join(dir, manifestFile))
	if err != nil {
		return nil, eris.Wrap(err, "ctl.bundle: read manifest")
	}
	signed := new(pb.SignedManifest)
	if err := proto.Unmarshal(data, signed); err != nil {
		return nil, usageErrorf("%s: not a signed manifest: %v", filepath.Join(dir, manifestFile), err)
	}
	return signed, nil
}

// readBundle reads the manifest and the sections in dir and assembles the text. It does not verify the
// signatures.
func readBundle(dir string) (*signedBundle, error) {
	signed, err := readManifest(dir)
	if err != nil {
		return nil, err
	}
	m := new(pb.Manifest)
	if err := proto.Unmarshal(signed.GetManifest(), m); err != nil {
		return nil, usageErrorf("%s: can't decode the manifest: %v", dir, err)
	}
	var sections [][]byte
	for _, raw := range m.GetSections() {
		s, err := readSection(dir, raw)
		if err != nil {
			return nil, err
		}
		sections = append(sections, s)
	}
	text, err := bundle.Assemble(m, sections)
	if err != nil {
		return nil, usageErrorf("%s: %v", dir, err)
	}
	return &signedBundle{signed, text}, nil
}

// readSection reads the section with the given digest.
func readSection(dir string, digest []byte) ([]byte, error) {
	if len(digest) != len(bundle.Digest{}) {
		return nil, usageErrorf("%s: the manifest names a section by %d bytes", dir, len(digest))
	}
	s, err := os.ReadFile(filepath.Join(dir, sectionsDir, bundle.Digest(digest).String()))
	return s, eris.Wrap(err, "ctl.bundle: read section")
}

// loadBundle reads a bundle from a text file or from the directory of a signed bundle. Only a bundle from a
// directory has its digest set.
func loadBundle(path string) (*bundle.Bundle, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "ctl.bundle")
	}
	if !info.IsDir() {
		return loadText(path)
	}
	sb, err := readBundle(path)
	if err != nil {
		return nil, err
	}
	b, err := bundle.Open(sb.signed, sb.text)
	if err != nil {
		return nil, usageErrorf("%s: %v", path, err)
	}
	return b, nil
}

// loadText reads and parses the text of a bundle.
func loadText(file string) (*bundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "ctl.bundle")
	}
	b, err := bundle.Parse(text)
	if err != nil {
		return nil, bundleTextError(file, err)
	}
	return b, nil
}

package bundle

import (
	"bytes"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(unworkableText(3)))
	f.Add([]byte("version = 1\n[[service]]\n[[service.snapshot]]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		sections := Split(text)
		if !bytes.Equal(bytes.Join(sections, nil), text) {
			t.Fatal("joined sections differ from the text")
		}
		b, err := Parse(text)
		if err != nil {
			var pe *ParseError
			if !errors.As(err, &pe) || pe.Reason == "" {
				t.Fatalf("error without reason: %#v", err)
			}
			if pe.Line > bytes.Count(text, []byte("\n"))+1 {
				t.Fatalf("line %d is past the end", pe.Line)
			}
			return
		}
		checkInvariants(t, b)
	})
}

// checkInvariants checks the properties of a bundle that the gather processes rely on.
func checkInvariants(t *testing.T, b *Bundle) {
	if b.Version == 0 || len(b.Services) == 0 || len(b.Callers) == 0 {
		t.Fatal("empty bundle")
	}
	for _, s := range b.Services {
		for _, k := range s.Kinds {
			if k.Timeout <= 0 || k.Timeout > b.Limits.MaxTimeout || k.TopK > b.Limits.MaxTopK {
				t.Fatalf("kind %+v", k)
			}
		}
		for i, sn := range s.Snapshots {
			if i > 0 && sn.Version >= s.Snapshots[i-1].Version || sn.Documents() == 0 {
				t.Fatalf("snapshot %d", sn.Version)
			}
			for _, sh := range sn.Shards {
				if len(sh.Leaves) == 0 || s.Leaves[sh.Leaves[0]] == nil {
					t.Fatalf("shard %d", sh.ID)
				}
			}
		}
	}
	for _, c := range b.Callers {
		if b.CallerByToken(c.TokenSHA256) != c || b.Services[c.Services[0]] == nil {
			t.Fatalf("caller %q", c.Name)
		}
	}
}

// FuzzManifest decodes and applies manifests of arbitrary bytes, unsigned and signed.
func FuzzManifest(f *testing.F) {
	good := signedCandidate(3, Digest{}, sample, reviewer(1))
	encoded, err := proto.Marshal(good.signed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded, []byte(sample))
	f.Add(good.signed.GetManifest(), []byte("version = 1"))
	trust := trustOf(1, reviewer(1))
	f.Fuzz(func(t *testing.T, data, text []byte) {
		var foreign pb.SignedManifest
		if proto.Unmarshal(data, &foreign) == nil {
			_, d, err := Verify(&foreign, trust)
			if err == nil && d != good.digest {
				t.Fatal("a forged manifest was accepted")
			}
		}
		signed := &pb.SignedManifest{Manifest: data}
		if err := AddSignature(signed, reviewer(1)); err != nil {
			t.Fatal(err)
		}
		s := NewStore(trust, nil)
		err := s.Apply(signed, text)
		var refused *RefusedError
		if err != nil && !errors.As(err, &refused) {
			t.Fatalf("refused without a typed reason: %v", err)
		}
		if (err == nil) != (s.Current() != nil) {
			t.Fatal("a bundle is in force after an error, or none after success")
		}
	})
}

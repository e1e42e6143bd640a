package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// TrustSettings is the settings table [trust]: the reviewers whose signatures are required on a bundle.
type TrustSettings struct {
	// Threshold is the number of distinct reviewers that must have signed.
	Threshold int                `toml:"threshold"`
	Reviewers []ReviewerSettings `toml:"reviewer"`
}

// ReviewerSettings is one reviewer's key, as "burdockctl bundle keygen" prints it.
type ReviewerSettings struct {
	KeyID string `toml:"key_id"`
	// PublicKey is the ed25519 public key in standard base64.
	PublicKey string `toml:"public_key"`
}

// Check refuses public keys that can't be decoded, have another id or are listed twice, and a threshold
// below 1 or above the number of reviewers.
func (t TrustSettings) Check(c *settings.Checker) {
	distinct := make(map[string]bool)
	for i, r := range t.Reviewers {
		key := fmt.Sprintf("trust.reviewer[%d]", i)
		public, err := r.public()
		c.Require(err == nil, key+".public_key", "%v", err)
		c.Require(err != nil || KeyID(public) == r.KeyID, key+".key_id", "%q is not the id of this public key", r.KeyID)
		c.Require(!distinct[r.PublicKey], key+".public_key", "listed twice")
		distinct[r.PublicKey] = true
	}
	c.Require(t.Threshold >= 1, "trust.threshold", "want 1 or more, got %d", t.Threshold)
	c.Require(t.Threshold <= len(t.Reviewers), "trust.threshold", "%d can't be met by %d reviewers", t.Threshold, len(t.Reviewers))
}

// Trust returns the settings in the form that Verify takes. It skips public keys that can't be decoded.
func (t TrustSettings) Trust() Trust {
	trust := Trust{Threshold: t.Threshold, Reviewers: make(map[string]ed25519.PublicKey)}
	for _, r := range t.Reviewers {
		if public, err := r.public(); err == nil {
			trust.Reviewers[r.KeyID] = public
		}
	}
	return trust
}

func (r ReviewerSettings) public() (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(r.PublicKey)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("want an ed25519 public key in base64, got %q", r.PublicKey)
	}
	return raw, nil
}

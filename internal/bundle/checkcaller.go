package bundle

import (
	"encoding/hex"
	"math"
	"slices"
)

// caller checks one caller and adds it to b. The services of b must have been added before.
func (c *checker) caller(b *Bundle, p *path, raw *rawCaller) {
	_, taken := b.Callers[raw.Name]
	c.name(p, "name", raw.Name, taken)
	caller := raw.resolve()
	caller.TokenSHA256 = c.token(p, raw.TokenSHA256)
	other := b.callersByToken[caller.TokenSHA256]
	c.require(other == nil, p, "token_sha256", "caller %q has the token of another caller", raw.Name)
	c.require(len(raw.Services) > 0, p, "services", "caller %q may use no service", raw.Name)
	for i, s := range raw.Services {
		c.require(b.Services[s] != nil, p, "services", "unknown service %q", s)
		c.require(!slices.Contains(raw.Services[:i], s), p, "services", "service %q stands twice", s)
	}
	c.inRange(p, "rate", caller.Rate, 0, maxRate)
	c.inRange(p, "burst", float64(caller.Burst), 1, math.MaxInt32)
	c.inRange(p, "share", float64(caller.Share), 1, maxShare)
	b.Callers[caller.Name], b.callersByToken[caller.TokenSHA256] = caller, caller
}

// token decodes a hex SHA-256 and refuses the one of the empty token.
func (c *checker) token(p *path, text string) (d Digest) {
	raw, err := hex.DecodeString(text)
	c.require(err == nil && len(raw) == len(d), p, "token_sha256", "want the SHA-256 of the token in 64 hex digits")
	copy(d[:], raw)
	c.require(d != emptySHA256, p, "token_sha256", "this is the SHA-256 of an empty token")
	return d
}

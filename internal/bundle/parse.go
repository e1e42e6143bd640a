package bundle

import (
	"errors"
	"strings"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// MaxTextBytes is the largest size of a bundle's text.
const MaxTextBytes = 4 << 20

// Parse decodes a bundle's text strictly, fills in the defaults and checks the rules. The error is a
// *ParseError. The Digest of the result is zero, since it is that of a manifest.
func Parse(text []byte) (*Bundle, error) {
	if len(text) > MaxTextBytes {
		return nil, &ParseError{Reason: "longer than 4 MiB"}
	}
	var raw rawBundle
	if err := settings.Parse("bundle", text, &raw); err != nil {
		return nil, syntaxError(err)
	}
	var c checker
	b := c.bundle(&raw)
	if c.err == nil {
		return b, nil
	}
	c.err.Line = nearestLine(text, c.err.Key)
	return nil, c.err
}

func syntaxError(err error) *ParseError {
	var se *settings.Error
	if errors.As(err, &se) {
		return &ParseError{Line: se.Line, Key: se.Key, Reason: se.Reason}
	}
	return &ParseError{Reason: err.Error()}
}

// nearestLine returns the line of the key or, if it is absent, of the innermost enclosing table. It
// returns 0 if there is neither.
func nearestLine(text []byte, key string) int {
	for key != "" {
		if line := settings.LineOf(text, key); line > 0 {
			return line
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
	return 0
}

package leafcall

import (
	"testing"

	"github.com/matryer/is"
)

// Answers that do not show that the leaf has run the request and outlived it cleared requests that crash leaves.
func TestShowsRun(t *testing.T) {
	for name, tt := range map[string]struct {
		response Response
		shows    bool
	}{
		"success":              {Response{Status: 200, Signature: "s"}, true},
		"failure of a request": {Response{Status: 404, Signature: "s"}, true},
		"failure of the leaf":  {Response{Status: 500, Signature: "s"}, false},
		"deadline":             {Response{Status: 504, Signature: "s"}, false},
		"unsigned":             {Response{Status: 200}, false},
		"refused":              {Response{Status: 429, Signature: "s", NotRun: true}, false},
		"another leaf":         {Response{Status: 421, Signature: "s", WrongIncarnation: true}, false},
		"no end of its own":    {Response{Status: 200, Signature: "s", EndsWithConnection: true}, false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tt.response.ShowsRun(), tt.shows) })
	}
}

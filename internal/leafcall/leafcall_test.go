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

// Answers with wrong bytes were taken for the leaf's own: a success without a signature, and a promise that a request has not
// run which the leaf had not made.
func TestInvalid(t *testing.T) {
	for name, tt := range map[string]struct {
		response Response
		invalid  bool
	}{
		"success":                            {Response{Status: 200, Signature: "s"}, false},
		"unsigned success":                   {Response{Status: 200}, true},
		"unsigned success without a body":    {Response{Status: 204}, true},
		"unsigned redirect":                  {Response{Status: 302}, false},
		"failure of a request":               {Response{Status: 404, Signature: "s"}, false},
		"unsigned failure of a request":      {Response{Status: 404}, false},
		"unsigned failure of the leaf":       {Response{Status: 500}, false},
		"refused":                            {Response{Status: 503, NotRun: true, PromisesNotRun: true}, false},
		"promise that the leaf doesn't make": {Response{Status: 503, Signature: "s", PromisesNotRun: true}, true},
		"another leaf":                       {Response{Status: 421, WrongIncarnation: true, PromisesNotRun: true}, false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tt.response.Invalid(), tt.invalid) })
	}
}

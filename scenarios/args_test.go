package scenarios

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// arguments holds the arguments of a verb: positional words in order and KEY=VALUE options. An option
// that the verb does not read is an error, so that a misspelt option is not ignored.
type arguments struct {
	words   []string
	options map[string]string
	err     error
}

func parseArguments(args []string) *arguments {
	a := &arguments{options: make(map[string]string)}
	for _, w := range args {
		key, value, ok := strings.Cut(w, "=")
		if ok && isOptionKey(key) {
			a.options[key] = value
			continue
		}
		a.words = append(a.words, w)
	}
	return a
}

// isOptionKey reports whether key is the key of an option, rather than text that contains a "=".
func isOptionKey(key string) bool {
	return key != "" && strings.Trim(key, "abcdefghijklmnopqrstuvwxyz_") == ""
}

// take removes an option and returns its value and whether it was given.
func (a *arguments) take(key string) (string, bool) {
	v, ok := a.options[key]
	delete(a.options, key)
	return v, ok
}

func (a *arguments) text(key, defaultValue string) string {
	if v, ok := a.take(key); ok {
		return v
	}
	return defaultValue
}

func (a *arguments) number(key string, defaultValue int) int {
	v, ok := a.take(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	a.setError(err)
	return n
}

func (a *arguments) duration(key string, defaultValue time.Duration) time.Duration {
	v, ok := a.take(key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	a.setError(err)
	return d
}

// flag removes a positional word and reports whether it was present.
func (a *arguments) flag(word string) bool {
	i := slices.Index(a.words, word)
	if i < 0 {
		return false
	}
	a.words = slices.Delete(a.words, i, i+1)
	return true
}

// name removes the last word if it has the form &NAME and returns NAME, the name of a background
// request. It returns an empty string otherwise.
func (a *arguments) name() string {
	last := len(a.words) - 1
	if last < 0 || !strings.HasPrefix(a.words[last], "&") {
		return ""
	}
	name := a.words[last][1:]
	a.words = a.words[:last]
	return name
}

// setError keeps the first error.
func (a *arguments) setError(err error) {
	if a.err == nil {
		a.err = err
	}
}

// validate returns the first error of the arguments. Unread options and a number of words outside low
// to high are errors.
func (a *arguments) validate(low, high int) error {
	if a.err != nil {
		return a.err
	}
	for key := range a.options {
		return fmt.Errorf("unknown option %q", key)
	}
	if len(a.words) < low || len(a.words) > high {
		return fmt.Errorf("want %d to %d words, got %q", low, high, a.words)
	}
	return nil
}

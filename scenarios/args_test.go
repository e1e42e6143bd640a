package scenarios

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// arguments are a verb's words: plain ones in order and KEY=VALUE options. An option that no one
// asked for is an error, so that a misspelt one isn't passed over.
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

// isOptionKey tells an option's key from text that happens to hold a "=".
func isOptionKey(key string) bool {
	return key != "" && strings.Trim(key, "abcdefghijklmnopqrstuvwxyz_") == ""
}

// take returns an option's value and whether it was given.
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

// flag takes a plain word away and tells whether it was there.
func (a *arguments) flag(word string) bool {
	i := slices.Index(a.words, word)
	if i < 0 {
		return false
	}
	a.words = slices.Delete(a.words, i, i+1)
	return true
}

// name takes the last word away where it is &NAME, for a request in the background.
func (a *arguments) name() string {
	last := len(a.words) - 1
	if last < 0 || !strings.HasPrefix(a.words[last], "&") {
		return ""
	}
	name := a.words[last][1:]
	a.words = a.words[:last]
	return name
}

func (a *arguments) setError(err error) {
	if a.err == nil {
		a.err = err
	}
}

// validate returns the first error; the words must be from low to high in number.
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

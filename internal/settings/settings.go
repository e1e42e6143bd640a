// Package settings reads the TOML settings of a program strictly. An unknown key, a wrong type, a value
// out of range or a contradiction is reported in one line with file, line and key.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ExitCode is the exit code of a program that refuses its settings.
const ExitCode = 2

// Error reports why a settings file is refused, and where.
type Error struct {
	File string
	// Line counts from 1. It is 0 if the key is absent or the error has no line.
	Line int
	// Key is the dotted path of the key, empty if the error has no key.
	Key    string
	Reason string
}

// Error formats the error as one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, ": %s", e.Key)
	}
	fmt.Fprintf(&b, ": %s", e.Reason)
	return b.String()
}

// Checker records the first refused value of a set of settings.
type Checker struct {
	key    string
	reason string
}

// Require refuses the value of key unless ok is true. Only the first refusal is recorded. The reason is a
// format string for args.
func (c *Checker) Require(ok bool, key, reason string, args ...any) {
	if ok || c.key != "" {
		return
	}
	c.key, c.reason = key, fmt.Sprintf(reason, args...)
}

// Checked is a set of settings with rules. Check is called after the file is decoded over the defaults.
type Checked interface {
	Check(c *Checker)
}

// Load decodes the file over the defaults in dst and checks the result. The error is an *Error.
func Load(file string, dst Checked) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Reason: err.Error()}
	}
	return Parse(file, data, dst)
}

// Parse is like Load for text that is already in memory. The name file is used only in errors.
func Parse(file string, data []byte, dst Checked) error {
	if err := checkText(data, dst); err != nil {
		err.File = file
		return err
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return decodeError(file, err)
	}
	if err := check(dst); err != nil {
		err.File, err.Line = file, LineOf(data, err.Key)
		return err
	}
	return nil
}

// CheckValues checks values that do not come from a text alone. The name file is used only in errors,
// which have no line.
func CheckValues(file string, v Checked) error {
	if err := check(v); err != nil {
		err.File = file
		return err
	}
	return nil
}

// check returns the first refused value as an error without file and line, or nil.
func check(v Checked) *Error {
	var c Checker
	v.Check(&c)
	if c.key == "" {
		return nil
	}
	return &Error{Key: c.key, Reason: c.reason}
}

// decodeError converts an error of the TOML library to an *Error with its line and key.
func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return &Error{File: file, Line: row, Key: strings.Join(strict.Errors[0].Key(), "."), Reason: "unknown key"}
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		reason := strings.TrimPrefix(dec.Error(), "toml: ")
		return &Error{File: file, Line: row, Key: strings.Join(dec.Key(), "."), Reason: reason}
	}
	return &Error{File: file, Reason: err.Error()}
}

// Package settings reads the TOML settings of a program strictly: an unknown key, a wrong type, a
// value out of range or a contradiction gives one line naming file, line and key.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ExitCode is the exit code of a program whose settings are refused.
const ExitCode = 2

// Error names the place in a file of settings that is refused.
type Error struct {
	File string
	// Line counts from 1; 0 where the key is absent.
	Line int
	// Key is the dotted path of the key.
	Key    string
	Reason string
}

// Error implements error in one line.
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

// Checker collects the first refused value of a set of settings.
type Checker struct {
	key    string
	reason string
}

// Require refuses key for the reason unless ok holds. Only the first refusal is kept.
func (c *Checker) Require(ok bool, key, reason string, args ...any) {
	if ok || c.key != "" {
		return
	}
	c.key, c.reason = key, fmt.Sprintf(reason, args...)
}

// Checked is a set of settings that can check itself. Check is called after defaults and file.
type Checked interface {
	Check(c *Checker)
}

// Load reads the file over the defaults that dst already holds, then checks the result.
func Load(file string, dst Checked) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Reason: err.Error()}
	}
	return Parse(file, data, dst)
}

// Parse is Load for text that is already read; file only names it in errors.
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

// CheckValues checks values that don't come from a text alone; file only names them in errors.
func CheckValues(file string, v Checked) error {
	if err := check(v); err != nil {
		err.File = file
		return err
	}
	return nil
}

// check returns the first refused value, without file and line.
func check(v Checked) *Error {
	var c Checker
	v.Check(&c)
	if c.key == "" {
		return nil
	}
	return &Error{Key: c.key, Reason: c.reason}
}

// decodeError finds line and key in the errors of the TOML library.
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

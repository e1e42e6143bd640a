package feed

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/process"
)

// Describe fills in what the view says of a process: the version of the bundle in force, and how
// long ago the platform was heard of, -1 where it never was.
func (v *View) Describe(i process.Info, now time.Time) process.Info {
	if v.Bundle != nil {
		i.BundleVersion = v.Bundle.Version
	}
	i.PlatformAgeSeconds = -1
	if !v.Heard.IsZero() && v.PlatformAge >= 0 {
		i.PlatformAgeSeconds = (v.PlatformAge + now.Sub(v.Heard)).Seconds()
	}
	return i
}

// Age returns how long ago the sync was heard of, in words; "never" before the first time.
func (v *View) Age(now time.Time) string {
	if v.Heard.IsZero() {
		return "never"
	}
	return now.Sub(v.Heard).Round(time.Millisecond).String()
}

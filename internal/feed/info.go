package feed

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/process"
)

// Describe adds what the view says of a process to i: the version of the bundle in force, and the
// age of the last platform contact in seconds, -1 if there was none.
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

// Age returns the time since the last message from the sync as text, "never" before the first one.
func (v *View) Age(now time.Time) string {
	if v.Heard.IsZero() {
		return "never"
	}
	return now.Sub(v.Heard).Round(time.Millisecond).String()
}

// Package version holds the version that every program prints with --version.
package version

// Version is set at the release; "dev" between releases.
var Version = "dev"

// Package version holds the version that every program prints with --version.
package version

// Version is set when a release is made. Between releases it is "dev".
var Version = "dev"

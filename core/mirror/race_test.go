//go:build race

package mirror

// The race detector's runtime sometimes crashes in tests with very many goroutines (go1.26 on arm64), so that only
// every 29th phase and a few seeds run with it. scripts/test.sh runs all of them without it.
const (
	phaseStep    = 29
	defaultSeeds = 3
)

//go:build !race

package mirror

const (
	phaseStep    = 1
	defaultSeeds = 30
)

// Package audit checks a configuration of the operators before it is sent: errors, entries that can never match, limits
// that contradict each other, and what differs from the version in force.
//
// It works on a Config that still has what a topology doesn't keep: the order, duplicates and the lines of the file.
// Keys are digests, so that no finding can show one.
//
// # Usage
//
//	findings := audit.Check(config, audit.Bounds{ConfigTarget: 5 * time.Second})
//	findings = append(findings, audit.Compare(inForce, config)...)
package audit

// Command review-2 plays the cases of the second review against the real program.
//
// It holds the stand-ins that the cases need: the platform's store with its promotion call, a database group that
// speaks the line protocol, callers, and a proxy that cuts connections. It starts entry VMs as processes with the
// command and the template of the deploy file, plays one case, and ends all processes that it started.
//
// # Usage
//
//	TROUBLE=1 target/review-2 CASE DIRECTORY
//
// It runs in the root of the repository, writes DIRECTORY/record.txt, and exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

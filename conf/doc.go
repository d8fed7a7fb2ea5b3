// Package conf reads the settings of an entry VM from an INI file.
//
// The whole file is validated before anything starts, and all problems are reported together. Each names
// the file, the section, the key, the value and the accepted values.
//
// # Usage
//
//	s, err := conf.Load("vm.ini")
//	if err != nil {
//		return err
//	}
//
// Each upstream has a section of its own, named "Upstream ID":
//
//	[VM]
//	ID = galveston-1
//	FailureDomain = galveston
//	Region = gulf-west
//
//	[Listen]
//	Callers = 127.0.0.1:6432
//
//	[Upstream berth-sessions-galveston]
//	Group = berth-sessions
//	Address = 127.0.0.1:5432
//	FailureDomain = galveston
//	Region = gulf-west
package conf

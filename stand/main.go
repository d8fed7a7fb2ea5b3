// Command standin runs stand-ins for the systems around snipewall: a database upstream and the
// platform.
package main

func main() {}

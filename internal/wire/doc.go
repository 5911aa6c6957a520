// Package wire holds the generated messages between the system's processes.
// The generated types are exported, as the generator requires; handlers turn
// them into types of their own at once.
package wire

//go:generate sh generate.sh

// Command coltsfootspoke is a rollout service for reinforcement learning.
package main

import (
	"os"

	"github.com/coltsfootspoke/coltsfootspoke/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], cmd.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

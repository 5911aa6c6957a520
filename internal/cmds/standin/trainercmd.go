package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// trainerCmd runs a trainer and prints a summary of the steps and samples it received.
type trainerCmd struct {
	URL       []string      `required:"" help:"URLs of the entries."`
	Key       string        `required:""`
	Group     string        `required:""`
	Steps     int           `default:"1"`
	Samples   int           `default:"32"`
	MaxTokens int           `default:"20"`
	Publish   bool          `help:"Publish a weight version before each step."`
	Timeout   time.Duration `default:"60s"`
}

// Run implements the command.
func (c *trainerCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	t := &demo.Trainer{
		URLs: c.URL, Key: c.Key, Group: c.Group, Steps: c.Steps, Samples: c.Samples, MaxTokens: c.MaxTokens, Publish: c.Publish,
	}
	result, err := t.Run(ctx)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

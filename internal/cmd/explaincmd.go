package cmd

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/internal/timeline"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// explainCmd prints the log lines of a request in chronological order.
type explainCmd struct {
	ID   string   `arg:"" help:"ID of a request, an item or a job."`
	Logs []string `arg:"" optional:"" help:"Log files. Standard input when there are none." type:"existingfile"`
}

// Run reads the logs and prints the timeline of the request.
func (c *explainCmd) Run(streams Streams) error {
	data, err := c.readLogs(streams.In)
	if err != nil {
		return err
	}
	t := timeline.New(c.ID)
	if err := t.Read(bytes.NewReader(data)); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "read logs").WithCause(err)
	}
	if t.Len() == 0 {
		return rollout.NewError(rollout.KindNotFound, "no log line mentions %s", c.ID)
	}
	if err := t.Write(streams.Out); err != nil {
		return err
	}
	if jobs := t.Jobs(); len(jobs) > 0 {
		_, err = fmt.Fprintf(streams.Out, "item of: %s\n", strings.Join(jobs, " "))
	}
	return err
}

// readLogs returns the contents of the log files, or of standard input if none are
// named.
func (c *explainCmd) readLogs(in io.Reader) ([]byte, error) {
	if len(c.Logs) == 0 {
		return io.ReadAll(in)
	}
	var all []byte
	for _, name := range c.Logs {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, rollout.NewError(rollout.KindInvalidInput, "read log file").WithCause(err)
		}
		all = append(append(all, data...), '\n')
	}
	return all, nil
}

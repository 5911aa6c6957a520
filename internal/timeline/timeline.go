// Package timeline collects the log lines of one request or job from the logs of
// several daemons and orders them by time.
package timeline

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// fieldPattern matches one key=value pair of a log line.
var fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Line is a parsed log line.
type Line struct {
	Time, Daemon, Event string
	// OtherFields contains the other fields in their logged form.
	OtherFields string
	ids         map[string]string
}

// Timeline holds the log lines of a request, an item or a job.
type Timeline struct {
	id    string
	lines []Line
	// jobs contains the IDs of the jobs of which the request is an item.
	jobs map[string]bool
}

// New returns an empty timeline for the ID of a request, an item or a job.
func New(id string) *Timeline { return &Timeline{id: id, jobs: make(map[string]bool)} }

// Read adds the lines of a log that mention the ID. Text before the first field
// of a line, such as a host name, is ignored.
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok && l.mentions(t.id) {
			t.lines = append(t.lines, l)
			if job := l.ids["Job"]; job != "" {
				t.jobs[job] = true
			}
		}
	}
	return scanner.Err()
}

// Jobs returns the sorted IDs of the jobs of which the request is an item.
func (t *Timeline) Jobs() []string {
	var ids []string
	for id := range t.jobs {
		if id != t.id {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Write writes the lines ordered by time.
func (t *Timeline) Write(w io.Writer) error {
	slices.SortStableFunc(t.lines, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	for _, l := range t.lines {
		if _, err := fmt.Fprintf(w, "%s %-32s %-16s %s\n", l.Time, l.Daemon, l.Event, l.OtherFields); err != nil {
			return err
		}
	}
	return nil
}

// Len returns the number of lines collected.
func (t *Timeline) Len() int { return len(t.lines) }

func (l Line) mentions(id string) bool { return l.ids["Request"] == id || l.ids["Job"] == id }

func parseLine(text string) (Line, bool) {
	l := Line{ids: make(map[string]string)}
	var others []string
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		switch m[1] {
		case "Time":
			l.Time = m[2]
		case "Level":
		case "Daemon":
			l.Daemon = m[2]
		case "Event":
			l.Event = m[2]
		case "Request", "Job":
			l.ids[m[1]] = m[2]
			others = append(others, m[0])
		default:
			others = append(others, m[0])
		}
	}
	l.OtherFields = strings.Join(others, " ")
	return l, l.Time != "" && l.Event != ""
}

// Package timeline finds the story of a request in the logs of many daemons.
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

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// field is one key=value pair of a log line.
var field = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Line is a log line.
type Line struct {
	Time, Daemon, Event string
	// Rest holds the other fields as they were logged.
	Rest string
	ids  map[string]string
}

// Timeline collects the lines that concern a request.
type Timeline struct {
	id    string
	lines []Line
	// jobs are the jobs that the request is an item of.
	jobs map[string]bool
}

// New returns an empty timeline of a request, an item or a job.
func New(id string) *Timeline { return &Timeline{id: id, jobs: make(map[string]bool)} }

// Read takes the lines of a log. Text before the first field of a line, such
// as the name of a host, is passed over.
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok && l.concerns(t.id) {
			t.lines = append(t.lines, l)
			if job := l.ids["Job"]; job != "" {
				t.jobs[job] = true
			}
		}
	}
	return scanner.Err()
}

// Jobs returns the IDs of the jobs that the request is an item of.
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

// Write writes the lines in the order of their time.
func (t *Timeline) Write(w io.Writer) error {
	slices.SortStableFunc(t.lines, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	for _, l := range t.lines {
		if _, err := fmt.Fprintf(w, "%s %-32s %-16s %s\n", l.Time, l.Daemon, l.Event, l.Rest); err != nil {
			return err
		}
	}
	return nil
}

// Len returns the number of lines found.
func (t *Timeline) Len() int { return len(t.lines) }

func (l Line) concerns(id string) bool { return l.ids["Request"] == id || l.ids["Job"] == id }

func parse(text string) (Line, bool) {
	l := Line{ids: make(map[string]string)}
	var rest []string
	for _, m := range field.FindAllStringSubmatch(text, -1) {
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
			rest = append(rest, m[0])
		default:
			rest = append(rest, m[0])
		}
	}
	l.Rest = strings.Join(rest, " ")
	return l, l.Time != "" && l.Event != ""
}

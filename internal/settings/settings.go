// Package settings reads and checks the settings files of the daemons.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Common settings stand in each file.
type Common struct {
	// Name is the name of the daemon, unique in the deployment.
	Name string
	// FailureDomain is where the daemon runs.
	FailureDomain string
	// Secret is shown between the system's own processes.
	Secret string
	// Address is where the daemon serves the system's own processes.
	Address string
	// BindAddress is where it listens when that is not Address, as behind a
	// forwarded port. Address when empty.
	BindAddress string
	// AdminAddress serves /metrics, /healthz and /readyz.
	AdminAddress string
	// Control lists the addresses of the control hosts.
	Control []string
	// LogLevel is debug, info, warn or error. Info when empty.
	LogLevel string
}

// Control holds the settings of a control host.
type Control struct {
	Common
	// DataDir holds the durable state. It must exist.
	DataDir string
	// OperatorKeyDigest is the hex SHA-256 of the operators' key.
	OperatorKeyDigest string
	// PlatformURL is where orders and usage reports go. Empty sends none.
	PlatformURL string
	// UsageWindowMS is the length of a usage window.
	UsageWindowMS rollout.Millis
	// SnapshotEntries is how many log entries are kept before a snapshot.
	SnapshotEntries uint64
	// Capacity changes how capacity targets are followed.
	Capacity Capacity
}

// Capacity holds the settings of capacity planning. Zero takes the default.
type Capacity struct {
	GrowAfterMS    rollout.Millis
	ShrinkAfterMS  rollout.Millis
	StartTimeoutMS rollout.Millis
}

// Entry holds the settings of an entry.
type Entry struct {
	Common
	// ListenAddress serves callers and trainers.
	ListenAddress string
	// ScorerURL scores finished samples. Empty gives each the score 0.
	ScorerURL string
	// MaxInFlight bounds the requests that run at a time.
	MaxInFlight int
	// MaxQueued bounds the requests of one client account that wait.
	MaxQueued int
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// AnnounceAddress is where the upstreams of the host announce themselves.
	AnnounceAddress string
	// WeightStoreURL is the weight store.
	WeightStoreURL string
	// KeptBytes bounds the answers kept for requests that come again.
	KeptBytes int64
}

const (
	defaultUsageWindowMS   = 60_000
	defaultSnapshotEntries = 20_000
	defaultMaxInFlight     = 2_048
	defaultMaxQueued       = 256
	defaultKeptBytes       = 48 << 20
)

// Peers returns the address to listen on for the system's own processes.
func (c Common) Peers() string {
	if c.BindAddress != "" {
		return c.BindAddress
	}
	return c.Address
}

// LoadAgent reads the settings of an agent.
func LoadAgent(path string) (Agent, error) {
	s := Agent{KeptBytes: defaultKeptBytes}
	err := load(path, &s, func(c *checker) {
		c.common(s.Common)
		c.address("AnnounceAddress", s.AnnounceAddress)
		c.positive("KeptBytes", s.KeptBytes)
	})
	return s, err
}

// LoadControl reads the settings of a control host.
func LoadControl(path string) (Control, error) {
	s := Control{UsageWindowMS: defaultUsageWindowMS, SnapshotEntries: defaultSnapshotEntries}
	err := load(path, &s, func(c *checker) {
		c.common(s.Common)
		c.writableDir("DataDir", s.DataDir)
		c.required("OperatorKeyDigest", s.OperatorKeyDigest)
		c.positive("UsageWindowMS", int64(s.UsageWindowMS))
		c.positive("SnapshotEntries", int64(s.SnapshotEntries))
	})
	return s, err
}

// LoadEntry reads the settings of an entry.
func LoadEntry(path string) (Entry, error) {
	s := Entry{MaxInFlight: defaultMaxInFlight, MaxQueued: defaultMaxQueued}
	err := load(path, &s, func(c *checker) {
		c.common(s.Common)
		c.address("ListenAddress", s.ListenAddress)
		c.positive("MaxInFlight", int64(s.MaxInFlight))
		c.positive("MaxQueued", int64(s.MaxQueued))
	})
	return s, err
}

// Listen opens a TCP listener and names the field when that fails.
func Listen(path, field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fieldError(path, field, err.Error())
	}
	return l, nil
}

func load(path string, into any, check func(*checker)) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "%v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return decodeError(path, data, dec.InputOffset(), err)
	}
	c := &checker{path: path}
	check(c)
	return c.err
}

func decodeError(path string, data []byte, offset int64, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		cause := fmt.Sprintf("want %s, found %s", wrongType.Type, wrongType.Value)
		return fieldError(position(path, data, wrongType.Offset), strings.TrimPrefix(wrongType.Field, "Common."), cause)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		if found := bytes.Index(data, []byte(name)); found >= 0 {
			offset = int64(found)
		}
		return fieldError(position(path, data, offset), strings.Trim(name, `"`), "unknown field")
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		offset = int64(len(data))
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	return rollout.NewError(rollout.KindInvalidInput, "%s: %v", position(path, data, offset), err)
}

func fieldError(path, field, cause string) error {
	return rollout.NewError(rollout.KindInvalidInput, "%s: %s: %s", path, field, cause)
}

// position returns the path with the line and column of an offset.
func position(path string, data []byte, offset int64) string {
	before := data[:min(offset, int64(len(data)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%s:%d:%d", path, line, column)
}

// checker collects the first thing that is wrong.
type checker struct {
	path string
	err  error
}

func (c *checker) address(field, value string) {
	if value == "" {
		c.fail(field, "missing address")
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		c.fail(field, fmt.Sprintf("%q is no host:port", value))
		return
	}
	if net.ParseIP(host) == nil {
		c.fail(field, fmt.Sprintf("%q is no IP number", host))
	}
}

func (c *checker) common(s Common) {
	c.required("Name", s.Name)
	c.required("FailureDomain", s.FailureDomain)
	c.required("Secret", s.Secret)
	c.address("Address", s.Address)
	if s.BindAddress != "" {
		c.address("BindAddress", s.BindAddress)
	}
	c.address("AdminAddress", s.AdminAddress)
	if len(s.Control) == 0 {
		c.fail("Control", "no control host")
	}
	for i, a := range s.Control {
		c.address(fmt.Sprintf("Control[%d]", i), a)
	}
}

func (c *checker) fail(field, cause string) {
	if c.err == nil {
		c.err = fieldError(c.path, field, cause)
	}
}

func (c *checker) positive(field string, value int64) {
	if value <= 0 {
		c.fail(field, fmt.Sprintf("%d is not positive", value))
	}
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.fail(field, "missing")
	}
}

func (c *checker) writableDir(field, dir string) {
	if dir == "" {
		c.fail(field, "missing")
		return
	}
	probe := filepath.Join(dir, ".probe")
	if err := os.WriteFile(probe, nil, 0o600); err != nil {
		c.fail(field, err.Error())
		return
	}
	_ = os.Remove(probe)
}

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

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Common holds the settings that all daemons have.
type Common struct {
	// Name identifies the daemon. It is unique in the deployment.
	Name string
	// FailureDomain is the failure domain in which the daemon runs.
	FailureDomain string
	// Secret authenticates the processes of the deployment to each other.
	Secret string
	// Address is the address at which other processes of the deployment reach
	// the daemon.
	Address string
	// BindAddress is the address to listen on if it differs from Address, for
	// example behind port forwarding. It defaults to Address.
	BindAddress string
	// AdminAddress serves /metrics, /healthz and /readyz.
	AdminAddress string
	// Control lists the addresses of the control hosts.
	Control []string
	// MemoryMB is the memory of the daemon, and Descriptors the number of sockets that it may
	// have open. They default to those of the intake package.
	MemoryMB    int64
	Descriptors int
	// LogLevel is debug, info, warn or error. It defaults to info.
	LogLevel string
}

// Control holds the settings of a control host.
type Control struct {
	Common
	// DataDir is the directory of the persistent state. It must exist.
	DataDir string
	// OperatorKeyDigest is the SHA-256 digest of the operators' key, in hex.
	OperatorKeyDigest string
	// PlatformURL is the URL to which orders and usage reports are sent. If it
	// is empty, none are sent.
	PlatformURL string
	// UsageWindowMS is the duration of a usage window.
	UsageWindowMS rollout.Millis
	// SnapshotEntries is the number of log entries after which a snapshot is
	// taken.
	SnapshotEntries uint64
	// Capacity tunes capacity planning.
	Capacity Capacity
}

// Capacity holds the settings of capacity planning. Zero selects the default.
type Capacity struct {
	GrowAfterMS    rollout.Millis
	ShrinkAfterMS  rollout.Millis
	StartTimeoutMS rollout.Millis
}

// Entry holds the settings of an entry daemon.
type Entry struct {
	Common
	// ListenAddress is the address that callers and trainers connect to.
	ListenAddress string
	// ScorerURL is the URL of the service that scores finished samples. If it is
	// empty, each sample gets the score 0.
	ScorerURL string
	// MaxInFlight limits the number of requests that run concurrently.
	MaxInFlight int
	// MaxQueued limits the number of queued requests of each client account.
	MaxQueued int
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// AnnounceAddress is the address at which the upstreams of the host register
	// with the agent.
	AnnounceAddress string
	// WeightStoreURL is the URL of the weight store.
	WeightStoreURL string
	// KeptBytes limits the size of the cache of responses for repeated requests.
	KeptBytes int64
}

const (
	bytesPerMB             = 1 << 20
	softLimitParts         = 4
	responseParts          = 4
	weightsParts           = 3
	defaultUsageWindowMS   = 60_000
	defaultSnapshotEntries = 20_000
	defaultMaxInFlight     = 2_048
	defaultMaxQueued       = 256
	defaultKeptBytes       = 48 << 20
)

// Intake returns the limits of what clients may use up.
func (c Common) Intake(log *zap.Logger, registry *prometheus.Registry) *intake.Intake {
	return intake.New(intake.Options{MemoryBytes: c.MemoryMB * bytesPerMB, Descriptors: c.Descriptors, Log: log, Registry: registry})
}

// memoryBytes returns the memory of the daemon.
func (c Common) memoryBytes() int64 {
	if c.MemoryMB > 0 {
		return c.MemoryMB * bytesPerMB
	}
	return intake.DefaultMemoryBytes
}

// SoftMemoryLimit returns the memory above which the runtime collects garbage more often.
func (c Common) SoftMemoryLimit() int64 {
	return c.memoryBytes() / softLimitParts * (softLimitParts - 1)
}

// ResponseBytes returns the memory that responses of upstreams and peers may take while they are
// read.
func (c Common) ResponseBytes() int64 { return c.memoryBytes() / responseParts }

// WeightsBytes returns the memory that the weights of one version may take.
func (c Common) WeightsBytes() int64 { return c.memoryBytes() / weightsParts }

// PeerListenAddress returns the address to listen on for connections from other
// processes of the deployment.
func (c Common) PeerListenAddress() string {
	if c.BindAddress != "" {
		return c.BindAddress
	}
	return c.Address
}

// LoadAgent reads the settings of an agent.
func LoadAgent(path string) (Agent, error) {
	s := Agent{KeptBytes: defaultKeptBytes}
	err := loadFile(path, &s, func(v *validator) {
		v.common(s.Common)
		v.address("AnnounceAddress", s.AnnounceAddress)
		v.positive("KeptBytes", s.KeptBytes)
	})
	return s, err
}

// LoadControl reads the settings of a control host.
func LoadControl(path string) (Control, error) {
	s := Control{UsageWindowMS: defaultUsageWindowMS, SnapshotEntries: defaultSnapshotEntries}
	err := loadFile(path, &s, func(v *validator) {
		v.common(s.Common)
		v.writableDir("DataDir", s.DataDir)
		v.required("OperatorKeyDigest", s.OperatorKeyDigest)
		v.positive("UsageWindowMS", int64(s.UsageWindowMS))
		v.positive("SnapshotEntries", int64(s.SnapshotEntries))
	})
	return s, err
}

// LoadEntry reads the settings of an entry daemon.
func LoadEntry(path string) (Entry, error) {
	s := Entry{MaxInFlight: defaultMaxInFlight, MaxQueued: defaultMaxQueued}
	err := loadFile(path, &s, func(v *validator) {
		v.common(s.Common)
		v.address("ListenAddress", s.ListenAddress)
		v.positive("MaxInFlight", int64(s.MaxInFlight))
		v.positive("MaxQueued", int64(s.MaxQueued))
	})
	return s, err
}

// Listen opens a TCP listener. An error names the settings file and the field
// that holds the address.
func Listen(path, field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fieldError(path, field, err.Error())
	}
	return l, nil
}

// loadFile decodes a settings file into dst and validates it.
func loadFile(path string, dst any, validate func(*validator)) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "%v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return decodeError(path, data, dec.InputOffset(), err)
	}
	if rest := bytes.TrimLeft(data[dec.InputOffset():], " \t\r\n"); len(rest) > 0 {
		return rollout.NewError(rollout.KindInvalidInput, "%s: unexpected text after the settings",
			position(path, data, int64(len(data)-len(rest))))
	}
	v := &validator{path: path}
	validate(v)
	return v.err
}

// decodeError adds the line, the column and, if known, the field to a decoding
// error.
func decodeError(path string, data []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		cause := fmt.Sprintf("expected %s, found %s", typeErr.Type, typeErr.Value)
		return fieldError(position(path, data, typeErr.Offset), strings.TrimPrefix(typeErr.Field, "Common."), cause)
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
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = syntaxErr.Offset
	}
	return rollout.NewError(rollout.KindInvalidInput, "%s: %v", position(path, data, offset), err)
}

func fieldError(path, field, cause string) error {
	return rollout.NewError(rollout.KindInvalidInput, "%s: %s: %s", path, field, cause)
}

// position formats an offset as path:line:column.
func position(path string, data []byte, offset int64) string {
	before := data[:min(offset, int64(len(data)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%s:%d:%d", path, line, column)
}

// validator checks the fields of a settings file and records the first error.
type validator struct {
	path string
	err  error
}

func (v *validator) address(field, value string) {
	if value == "" {
		v.fail(field, "missing address")
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		v.fail(field, fmt.Sprintf("%q is not a host:port address", value))
		return
	}
	if net.ParseIP(host) == nil {
		v.fail(field, fmt.Sprintf("%q is not an IP address", host))
	}
}

func (v *validator) common(s Common) {
	v.required("Name", s.Name)
	v.required("FailureDomain", s.FailureDomain)
	v.required("Secret", s.Secret)
	v.address("Address", s.Address)
	if s.BindAddress != "" {
		v.address("BindAddress", s.BindAddress)
	}
	v.address("AdminAddress", s.AdminAddress)
	v.notNegative("MemoryMB", s.MemoryMB)
	v.notNegative("Descriptors", int64(s.Descriptors))
	if len(s.Control) == 0 {
		v.fail("Control", "at least one control host is required")
	}
	for i, a := range s.Control {
		v.address(fmt.Sprintf("Control[%d]", i), a)
	}
}

func (v *validator) fail(field, cause string) {
	if v.err == nil {
		v.err = fieldError(v.path, field, cause)
	}
}

func (v *validator) notNegative(field string, value int64) {
	if value < 0 {
		v.fail(field, fmt.Sprintf("%d must not be negative", value))
	}
}

func (v *validator) positive(field string, value int64) {
	if value <= 0 {
		v.fail(field, fmt.Sprintf("%d must be positive", value))
	}
}

func (v *validator) required(field, value string) {
	if value == "" {
		v.fail(field, "missing")
	}
}

func (v *validator) writableDir(field, dir string) {
	if dir == "" {
		v.fail(field, "missing")
		return
	}
	probe := filepath.Join(dir, ".probe")
	if err := os.WriteFile(probe, nil, 0o600); err != nil {
		v.fail(field, err.Error())
		return
	}
	_ = os.Remove(probe)
}

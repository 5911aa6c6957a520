// Package demo generates a small deployment on the loopback address: settings
// files and the command lines of all processes, which scripts and tests start.
// It also has clients that check such a deployment.
package demo

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

const (
	dirPerm  = 0o700
	filePerm = 0o600
	// layoutFileName is the name of the file that stores the layout.
	layoutFileName = "layout.json"
	// processesFileName is the name of the file that lists the command lines.
	processesFileName = "processes"
)

// Upstream is a simulated upstream.
type Upstream struct {
	ID   string
	Kind string
	Pool string
	// Agent is the index of the agent that the upstream announces itself to.
	Agent int
	// Args are additional arguments of the standin command.
	Args []string
	// Address is set by New.
	Address string
}

// Options configures the deployment to generate.
type Options struct {
	Controls, Entries, Agents int
	Upstreams                 []Upstream
	UsageWindowMS             rollout.Millis
	SnapshotEntries           uint64
	LogLevel                  string
	// StoreArgs are additional arguments of the weight store.
	StoreArgs []string
}

// Process is the command line of a process.
type Process struct {
	Name string
	// Args starts with the name of the binary.
	Args []string
}

// Layout describes a deployment whose files are in one directory.
type Layout struct {
	Dir         string
	Secret      string
	OperatorKey string
	// Controls, EntryURLs and EntryAdmins hold addresses, indexed by the number
	// in the process name minus one.
	Controls    []string
	EntryURLs   []string
	EntryAdmins []string
	Platform    string
	Scorer      string
	Store       string
	Upstreams   []Upstream
	Processes   []Process
}

// DefaultOptions returns the options of the demo deployment.
func DefaultOptions() Options {
	return Options{
		Controls: 3, Entries: 2, Agents: 3, UsageWindowMS: 5_000, SnapshotEntries: 20_000, LogLevel: "info",
		Upstreams: []Upstream{
			{ID: "engine-1", Kind: "engine", Pool: "redactor", Agent: 0},
			{ID: "engine-2", Kind: "engine", Pool: "redactor", Agent: 1},
			{ID: "engine-3", Kind: "engine", Pool: "redactor", Agent: 2},
			{ID: "orders-1", Kind: "service", Pool: "pedidos", Agent: 0},
		},
	}
}

// New generates a deployment and writes its files to a directory.
func New(dir string, o Options) (*Layout, error) {
	b := &builder{options: o, layout: &Layout{
		Dir: dir, Secret: "demo-deployment-secret", OperatorKey: "demo-operator-key", Upstreams: o.Upstreams,
	}}
	if err := b.build(); err != nil {
		return nil, err
	}
	return b.layout, b.writeFiles()
}

// Load reads the layout that New has written to a directory.
func Load(dir string) (*Layout, error) {
	data, err := os.ReadFile(filepath.Join(dir, layoutFileName))
	if err != nil {
		return nil, err
	}
	var l Layout
	return &l, json.Unmarshal(data, &l)
}

type builder struct {
	options Options
	layout  *Layout
	ports   []int
	err     error
}

func (b *builder) build() error {
	o, l := b.options, b.layout
	const portsPerControl, portsPerEntry, portsPerAgent, otherPorts = 2, 3, 3, 3
	count := portsPerControl*o.Controls + portsPerEntry*o.Entries + portsPerAgent*o.Agents + len(o.Upstreams) + otherPorts
	ports, err := FreePorts(count)
	if err != nil {
		return err
	}
	b.ports = ports
	l.Platform, l.Scorer, l.Store = b.nextAddress(), b.nextAddress(), b.nextAddress()
	b.addProcess("platform", "standin", "platform", "--listen="+l.Platform)
	b.addProcess("scorer", "standin", "scorer", "--listen="+l.Scorer)
	b.addProcess("weightstore", append([]string{"standin", "weightstore", "--listen=" + l.Store}, o.StoreArgs...)...)
	for range o.Controls {
		l.Controls = append(l.Controls, b.nextAddress())
	}
	for i := range o.Controls {
		b.addControl(i)
	}
	announceAddresses := make([]string, o.Agents)
	for i := range o.Agents {
		announceAddresses[i] = b.addAgent(i)
	}
	for i := range o.Entries {
		b.addEntry(i)
	}
	for i := range l.Upstreams {
		b.addUpstream(&l.Upstreams[i], announceAddresses)
	}
	return b.err
}

func (b *builder) nextAddress() string {
	port := b.ports[0]
	b.ports = b.ports[1:]
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func (b *builder) commonSettings(name string, index int) settings.Common {
	domains := []string{"paraiso", "turrialba", "oreamuno"}
	return settings.Common{
		Name: name, FailureDomain: domains[index%len(domains)], Secret: b.layout.Secret,
		Control: b.layout.Controls, LogLevel: b.options.LogLevel,
	}
}

func (b *builder) addControl(i int) {
	name := fmt.Sprintf("control-%d", i+1)
	data := filepath.Join(b.layout.Dir, name)
	if err := os.MkdirAll(data, dirPerm); err != nil && b.err == nil {
		b.err = err
	}
	s := settings.Control{
		Common: b.commonSettings(name, i), DataDir: data, OperatorKeyDigest: catalog.Digest(b.layout.OperatorKey),
		PlatformURL: "http://" + b.layout.Platform, UsageWindowMS: b.options.UsageWindowMS,
		SnapshotEntries: b.options.SnapshotEntries,
	}
	s.Address, s.AdminAddress = b.layout.Controls[i], b.nextAddress()
	b.addDaemon("control", name, s)
}

// addAgent adds an agent and returns its announce address.
func (b *builder) addAgent(i int) string {
	name := fmt.Sprintf("agent-%d", i+1)
	s := settings.Agent{Common: b.commonSettings(name, i), WeightStoreURL: "http://" + b.layout.Store, KeptBytes: 8 << 20}
	s.Address, s.AdminAddress, s.AnnounceAddress = b.nextAddress(), b.nextAddress(), b.nextAddress()
	b.addDaemon("agent", name, s)
	return s.AnnounceAddress
}

func (b *builder) addEntry(i int) {
	name := fmt.Sprintf("entry-%d", i+1)
	s := settings.Entry{Common: b.commonSettings(name, i), ScorerURL: "http://" + b.layout.Scorer, MaxInFlight: 1_024, MaxQueued: 256}
	s.Address, s.AdminAddress, s.ListenAddress = b.nextAddress(), b.nextAddress(), b.nextAddress()
	b.layout.EntryURLs = append(b.layout.EntryURLs, "http://"+s.ListenAddress)
	b.layout.EntryAdmins = append(b.layout.EntryAdmins, "http://"+s.AdminAddress)
	b.addDaemon("entry", name, s)
}

func (b *builder) addUpstream(u *Upstream, announceAddresses []string) {
	u.Address = b.nextAddress()
	args := []string{
		"standin", u.Kind, "--id=" + u.ID, "--pool=" + u.Pool,
		"--listen=" + u.Address, "--agent=http://" + announceAddresses[u.Agent],
	}
	b.addProcess(u.ID, append(args, u.Args...)...)
}

func (b *builder) addDaemon(command, name string, s any) {
	path := filepath.Join(b.layout.Dir, name+".json")
	data, err := json.MarshalIndent(s, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), filePerm)
	}
	if err != nil && b.err == nil {
		b.err = err
	}
	b.addProcess(name, "coltsfootspoke", command, "--config="+path)
}

func (b *builder) addProcess(name string, args ...string) {
	b.layout.Processes = append(b.layout.Processes, Process{Name: name, Args: args})
}

func (b *builder) writeFiles() error {
	data, err := json.MarshalIndent(b.layout, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(b.layout.Dir, layoutFileName), data, filePerm); err != nil {
		return err
	}
	var lines strings.Builder
	for _, p := range b.layout.Processes {
		_, _ = fmt.Fprintf(&lines, "%s %s\n", p.Name, strings.Join(p.Args, " "))
	}
	return os.WriteFile(filepath.Join(b.layout.Dir, processesFileName), []byte(lines.String()), filePerm)
}

const (
	// firstPort and lastPort are below the ephemeral port range, so that no
	// outgoing connection takes a port before its process listens on it.
	firstPort = 10_000
	lastPort  = 32_000
	// portStride separates the port ranges of processes that generate deployments
	// at the same time.
	portStride = 1_000
)

// portCursor counts the ports that this process has tried.
var portCursor atomic.Int64

// FreePorts returns ports of the loopback address that were free when they were
// tried and that this process has not returned before.
func FreePorts(count int) ([]int, error) {
	ports := make([]int, 0, count)
	for attempts := 0; len(ports) < count; attempts++ {
		if attempts > lastPort-firstPort {
			return nil, fmt.Errorf("found %d of %d free ports between %d and %d", len(ports), count, firstPort, lastPort)
		}
		offset := portCursor.Add(1) + int64(os.Getpid()%(lastPort-firstPort)*portStride)
		port := firstPort + int(offset%(lastPort-firstPort))
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

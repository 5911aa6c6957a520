// Package demo lays out a small deployment on the loopback address: settings
// files and the command lines of all processes. Scripts and tests start them.
package demo

import (
	"encoding/json"
	"errors"
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
	// layoutName is the file that holds a layout in its folder.
	layoutName = "layout.json"
	// processesName is the file that lists the command lines.
	processesName = "processes"
)

// Upstream is one stand-in upstream.
type Upstream struct {
	ID   string
	Kind string
	Pool string
	// Agent is the number of the agent beside it.
	Agent int
	// Args are further arguments of the stand-in.
	Args []string
	// Address is set by New.
	Address string
}

// Options choose the shape of a deployment.
type Options struct {
	Controls, Entries, Agents int
	Upstreams                 []Upstream
	UsageWindowMS             rollout.Millis
	SnapshotEntries           uint64
	LogLevel                  string
	// StoreArgs are further arguments of the weight store.
	StoreArgs []string
}

// Process is one command line.
type Process struct {
	Name string
	// Args begin with the name of the binary.
	Args []string
}

// Layout is a deployment in one folder.
type Layout struct {
	Dir         string
	Secret      string
	OperatorKey string
	// Controls, EntryURLs and EntryAdmins hold addresses by number.
	Controls    []string
	EntryURLs   []string
	EntryAdmins []string
	Platform    string
	Scorer      string
	Store       string
	Upstreams   []Upstream
	Processes   []Process
}

// DefaultOptions returns the deployment of the demo.
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

// New writes the settings of a deployment into a folder.
func New(dir string, o Options) (*Layout, error) {
	b := &builder{options: o, layout: &Layout{
		Dir: dir, Secret: "demo-deployment-secret", OperatorKey: "demo-operator-key", Upstreams: o.Upstreams,
	}}
	if err := b.build(); err != nil {
		return nil, err
	}
	return b.layout, b.save()
}

// Load reads the layout of a folder.
func Load(dir string) (*Layout, error) {
	data, err := os.ReadFile(filepath.Join(dir, layoutName))
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
	const perControl, perEntry, perAgent, others = 2, 3, 3, 3
	count := perControl*o.Controls + perEntry*o.Entries + perAgent*o.Agents + len(o.Upstreams) + others
	ports, err := FreePorts(count)
	if err != nil {
		return err
	}
	b.ports = ports
	l.Platform, l.Scorer, l.Store = b.address(), b.address(), b.address()
	b.process("platform", "standin", "platform", "--listen="+l.Platform)
	b.process("scorer", "standin", "scorer", "--listen="+l.Scorer)
	b.process("weightstore", append([]string{"standin", "weightstore", "--listen=" + l.Store}, o.StoreArgs...)...)
	for range o.Controls {
		l.Controls = append(l.Controls, b.address())
	}
	for i := range o.Controls {
		b.control(i)
	}
	announce := make([]string, o.Agents)
	for i := range o.Agents {
		announce[i] = b.agent(i)
	}
	for i := range o.Entries {
		b.entry(i)
	}
	for i := range l.Upstreams {
		b.upstream(&l.Upstreams[i], announce)
	}
	return b.err
}

func (b *builder) address() string {
	port := b.ports[0]
	b.ports = b.ports[1:]
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func (b *builder) common(name string, number int) settings.Common {
	domains := []string{"paraiso", "turrialba", "oreamuno"}
	return settings.Common{
		Name: name, FailureDomain: domains[number%len(domains)], Secret: b.layout.Secret,
		Control: b.layout.Controls, LogLevel: b.options.LogLevel,
	}
}

func (b *builder) control(i int) {
	name := fmt.Sprintf("control-%d", i+1)
	data := filepath.Join(b.layout.Dir, name)
	if err := os.MkdirAll(data, dirPerm); err != nil && b.err == nil {
		b.err = err
	}
	s := settings.Control{
		Common: b.common(name, i), DataDir: data, OperatorKeyDigest: catalog.Digest(b.layout.OperatorKey),
		PlatformURL: "http://" + b.layout.Platform, UsageWindowMS: b.options.UsageWindowMS,
		SnapshotEntries: b.options.SnapshotEntries,
	}
	s.Address, s.AdminAddress = b.layout.Controls[i], b.address()
	b.daemon("control", name, s)
}

func (b *builder) agent(i int) string {
	name := fmt.Sprintf("agent-%d", i+1)
	s := settings.Agent{Common: b.common(name, i), WeightStoreURL: "http://" + b.layout.Store, KeptBytes: 8 << 20}
	s.Address, s.AdminAddress, s.AnnounceAddress = b.address(), b.address(), b.address()
	b.daemon("agent", name, s)
	return s.AnnounceAddress
}

func (b *builder) entry(i int) {
	name := fmt.Sprintf("entry-%d", i+1)
	s := settings.Entry{Common: b.common(name, i), ScorerURL: "http://" + b.layout.Scorer, MaxInFlight: 1_024, MaxQueued: 256}
	s.Address, s.AdminAddress, s.ListenAddress = b.address(), b.address(), b.address()
	b.layout.EntryURLs = append(b.layout.EntryURLs, "http://"+s.ListenAddress)
	b.layout.EntryAdmins = append(b.layout.EntryAdmins, "http://"+s.AdminAddress)
	b.daemon("entry", name, s)
}

func (b *builder) upstream(u *Upstream, announce []string) {
	u.Address = b.address()
	args := []string{
		"standin", u.Kind, "--id=" + u.ID, "--pool=" + u.Pool,
		"--listen=" + u.Address, "--agent=http://" + announce[u.Agent],
	}
	b.process(u.ID, append(args, u.Args...)...)
}

func (b *builder) daemon(command, name string, s any) {
	path := filepath.Join(b.layout.Dir, name+".json")
	data, err := json.MarshalIndent(s, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), filePerm)
	}
	if err != nil && b.err == nil {
		b.err = err
	}
	b.process(name, "coltsfootspoke", command, "--config="+path)
}

func (b *builder) process(name string, args ...string) {
	b.layout.Processes = append(b.layout.Processes, Process{Name: name, Args: args})
}

func (b *builder) save() error {
	data, err := json.MarshalIndent(b.layout, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(b.layout.Dir, layoutName), data, filePerm); err != nil {
		return err
	}
	var lines strings.Builder
	for _, p := range b.layout.Processes {
		_, _ = fmt.Fprintf(&lines, "%s %s\n", p.Name, strings.Join(p.Args, " "))
	}
	return os.WriteFile(filepath.Join(b.layout.Dir, processesName), []byte(lines.String()), filePerm)
}

const (
	// firstPort and lastPort lie below the ports that the system gives to
	// outgoing connections, so that none is taken before its process listens.
	firstPort = 10_000
	lastPort  = 32_000
	// portStride spreads the processes that lay deployments out.
	portStride = 1_000
)

// portCursor counts the ports that this process has given out.
var portCursor atomic.Int64

// FreePorts returns ports of the loopback address that were free just now and
// that this process has not given out before.
func FreePorts(count int) ([]int, error) {
	ports := make([]int, 0, count)
	for tries := 0; len(ports) < count; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("no free ports")
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

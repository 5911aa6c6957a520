package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the deployment. They are the same on all machines.
const (
	frontPort    = 8405
	readyPort    = 8406
	controlPort  = 8407
	cloudPort    = 8408
	enginePort   = 8080
	internalPort = 7660
	metricsPort  = 9464
	lockPort     = 7699
	// firstSubnet and subnets give the loopback networks that a case may use.
	firstSubnet = 220
	subnets     = 30
)

// The bounds of the smallest deployment that the cases use.
const (
	contactTime  = 3 * time.Second
	drainTime    = 2 * time.Second
	graceTime    = 8 * time.Second
	heartbeat    = 1200 * time.Millisecond
	restartDelay = time.Second
)

// process is one process of the system on a machine.
type process struct {
	role string
	host *host
	mu   sync.Mutex
	cmd  *exec.Cmd
	// starts counts the starts. Only the first one may found the system.
	starts int
	done   chan struct{}
}

// host is a machine with its own loopback address.
type host struct {
	name, class, zone, ip string
	procs                 map[string]*process
}

// cluster runs the processes of a small deployment.
type cluster struct {
	dir, root string
	subnet    int
	lock      net.Listener
	fronts    []*host
	stores    []*host
	// thin holds machines without a disk, which only run an entry.
	thin []*host
	rec  *record
	log  *os.File
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriter(f), f: f, start: time.Now()}, nil
}

// now returns the time since the start in milliseconds.
func (r *record) now() int64 { return time.Since(r.start).Milliseconds() }

// at converts a time to milliseconds since the start.
func (r *record) at(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%7d ms  %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// portsFree reports whether the ports of all machines of a loopback network are free.
func portsFree(subnet int) bool {
	for number := 1; number <= 13; number++ {
		for _, port := range []int{frontPort, readyPort, controlPort, internalPort, metricsPort, metricsPort + 1, metricsPort + 2} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.%d:%d", subnet, number, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// newCluster reserves a loopback subnet whose ports are free.
func newCluster(rec *record) (*cluster, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, root: root, rec: rec}
	if c.log, err = os.Create(filepath.Join(dir, "processes.log")); err != nil {
		return nil, err
	}
	for i := range subnets {
		// The project's own tests use lower numbers.
		subnet := firstSubnet + (os.Getpid()+i)%subnets
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.250:%d", subnet, lockPort))
		if err != nil {
			continue
		}
		if portsFree(subnet) {
			c.subnet, c.lock = subnet, l
			break
		}
		_ = l.Close()
	}
	if c.lock == nil {
		return nil, fmt.Errorf("no loopback subnet is free")
	}
	for i, zone := range []string{"paraiso", "turrialba", "oreamuno"} {
		c.fronts = append(c.fronts, c.newHost("frontend", zone, 1+i, "control", "entry"))
		c.stores = append(c.stores, c.newHost("storage", zone, 11+i, "store"))
	}
	return c, nil
}

// addThin adds machines without a disk and starts their entries.
func (c *cluster) addThin(n int) error {
	for i := range n {
		h := c.newHost("frontend", c.fronts[i%3].zone, 4+i, "entry")
		h.name = fmt.Sprintf("%s-%d", strings.TrimSuffix(h.name, "-1"), 2+i/3)
		c.thin = append(c.thin, h)
		if err := c.start(h.procs["entry"]); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) newHost(class, zone string, number int, roles ...string) *host {
	h := &host{name: fmt.Sprintf("%s-%s-1", class, zone), class: class, zone: zone, ip: fmt.Sprintf("127.%d.0.%d", c.subnet, number), procs: make(map[string]*process)}
	for _, r := range roles {
		h.procs[r] = &process{role: r, host: h}
	}
	return h
}

func (c *cluster) cloudAddress() string { return fmt.Sprintf("127.%d.0.200:%d", c.subnet, cloudPort) }

func (c *cluster) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", c.fronts[i].ip, controlPort)
}

// settings returns the settings file of a process.
func (c *cluster) settings(p *process) string {
	h := p.host
	var seeds []string
	for i := range c.fronts {
		seeds = append(seeds, fmt.Sprintf("%q", c.controlAddress(i)))
	}
	serves := map[string]string{"entry": "frontend", "control": "control_plane", "store": "storage"}[p.role]
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"cartago\"\n", h.name, p.role, h.class, serves, h.ip, h.zone)
	fmt.Fprintf(&b, "internalPorts = [%d,%d]\nseeds = [%s]\nbootstrap = %v\nfaultCounted = %v\n", internalPort, internalPort+15, strings.Join(seeds, ","), p.starts == 0, !slices.Contains(c.thin, h))
	if p.role != "entry" {
		fmt.Fprintf(&b, "dataDir = %q\n", filepath.Join(c.dir, h.name, p.role))
	}
	b.WriteString("discovery = \"registration\"\nentry = \"vip\"\nheartbeatMs = 1200\n")
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\"batch\",\"tenants\",\"leader\"]\nconfigMode = \"highest\"\n")
	b.WriteString("[zones]\nparaiso = \"cartago\"\nturrialba = \"cartago\"\noreamuno = \"cartago\"\n[listen]\n")
	switch p.role {
	case "entry":
		fmt.Fprintf(&b, "front = \"%s:%d\"\nready = \"%s:%d\"\n", h.ip, frontPort, h.ip, readyPort)
	case "control":
		fmt.Fprintf(&b, "control = \"%s:%d\"\n", h.ip, controlPort)
	}
	memory := map[string]int{"frontend": 284, "storage": 324}[h.class]
	fmt.Fprintf(&b, "[limits]\ncpuShare = 0.8\ncores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 64\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n", memory)
	b.WriteString("[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.9\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nrevokeStrict = false\nrevokeMs = 5000\nfencingEnforced = false\nleaseMs = 3000\nthawMs = 300\nwindowS = 5\nusageOff = 0.05\nusageLateS = 10\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\nfinishS = 10\nstatusS = 120\ncancelMs = 3000\nsettleMs = 1000\nquotaOverage = 0.1\n")
	fmt.Fprintf(&b, "[cloud]\naddress = %q\nratePerS = 50.0\nduties = [\"usage\"]\ndutyPerS = 50.0\n", c.cloudAddress())
	return b.String()
}

// start starts a process with the command of the deploy file.
func (c *cluster) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(c.dir, p.host.name+"-"+p.role+".toml")
	if err := os.WriteFile(path, []byte(c.settings(p)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(c.dir, p.host.name, p.role), 0o700); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(c.root, "target/coltsfootspoke"), "host", p.role)
	cmd.Dir = c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "COLTSFOOTSPOKE_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = c.log, c.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.starts++
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	c.rec.add("process %s/%s started, pid %d", p.host.name, p.role, cmd.Process.Pid)
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (c *cluster) all() []*process {
	var ps []*process
	for _, h := range slices.Concat(c.fronts, c.stores, c.thin) {
		for _, role := range []string{"control", "store", "entry"} {
			if p := h.procs[role]; p != nil {
				ps = append(ps, p)
			}
		}
	}
	return ps
}

func (c *cluster) startAll() error {
	for _, p := range c.all() {
		if err := c.start(p); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and removes the folder.
func (c *cluster) stop() {
	for _, p := range c.all() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
	}
	_ = c.log.Close()
	if keep := os.Getenv("REVIEW_KEEP_LOG"); keep != "" {
		if data, err := os.ReadFile(filepath.Join(c.dir, "processes.log")); err == nil {
			_ = os.WriteFile(keep, data, 0o600)
		}
	}
	_ = os.RemoveAll(c.dir)
	_ = c.lock.Close()
}

// ready reports whether an entry answers its readiness probe with 200.
func (c *cluster) ready(h *host) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all entries are ready.
func (c *cluster) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range c.fronts {
			if c.ready(h) {
				ready++
			}
		}
		if ready == len(c.fronts) {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after %v", limit)
}

// controlLeader returns the index of the machine whose control process leads, or -1.
func (c *cluster) controlLeader() int { return c.leader(c.fronts, metricsPort+1) }

// leader returns the index of the machine whose process leads its quorum, from its metrics, or
// -1 if there is none.
func (c *cluster) leader(hosts []*host, port int) int {
	client := http.Client{Timeout: time.Second}
	for i, h := range hosts {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", h.ip, port))
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for _, line := range strings.Split(string(data), "\n") {
			if strings.HasPrefix(line, "coltsfootspoke_quorum_leading") && strings.HasSuffix(line, " 1") {
				return i
			}
		}
	}
	return -1
}

// operator sends a call of the operator to the control processes in turn until one accepts it.
func (c *cluster) operator(method, path, body string) error {
	client := http.Client{Timeout: 2 * time.Second}
	var last string
	for i := 0; i < 120; i++ {
		req, _ := http.NewRequest(method, "http://"+c.controlAddress(i%len(c.fronts))+path, strings.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			data, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				return nil
			}
			last = fmt.Sprint(resp.StatusCode, " ", string(data))
		} else {
			last = err.Error()
		}
		time.Sleep(150 * time.Millisecond)
	}
	return fmt.Errorf("%s %s was not accepted: %s", method, path, last)
}

// startCloud serves the calls of the platform's own duties.
func (c *cluster) startCloud() error {
	l, err := net.Listen("tcp", c.cloudAddress())
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusOK)
		}))
	}()
	return nil
}

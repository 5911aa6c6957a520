package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	binary       = "target/coltsfootspoke"
	settingsEnv  = "COLTSFOOTSPOKE_NODE_FILE"
	frontPort    = 28405
	readyPort    = 28406
	controlPort  = 28407
	internalPort = 27660
	hostName     = "ficu95.example"
	key          = "key-of-the-trainer-1"
	account      = "hule930"
	startTimeout = 30 * time.Second
)

// errNotRunnable means that a case could not run, which says nothing about the rule.
var errNotRunnable = errors.New("the case could not run")

// process is a process of the system, and how to start it again.
type process struct {
	name, role, settings, log string
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

// cluster is a small deployment: three hosts with an entry and a control process each, and
// three store hosts. Each host has its own loopback address.
type cluster struct {
	rec    *record
	dir    string
	subnet int
	// zones holds the zone of each host of a class.
	zones []string
	// frontMB and storeMB are the memory of the hosts.
	frontMB, storeMB int

	mu        sync.Mutex
	processes map[string]*process
	engines   []*engine
	platform  *http.Server
	stop      chan struct{}
}

func newCluster(rec *record) (*cluster, error) { return newClusterOf(rec, 284, 324) }

// newClusterOf is newCluster with hosts of other memory.
func newClusterOf(rec *record, frontMB, storeMB int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, zones: []string{"paraiso", "turrialba", "oreamuno"}, frontMB: frontMB, storeMB: storeMB, processes: map[string]*process{}, stop: make(chan struct{})}
	if c.subnet, err = freeSubnet(); err != nil {
		return c, err
	}
	if err := c.startPlatform(); err != nil {
		return c, err
	}
	for i := range 3 {
		c.start("control", c.front(i), i, true)
		c.start("entry", c.front(i), i, true)
		c.start("store", c.storeIP(i), i, true)
	}
	return c, nil
}

// freeSubnet returns the number of a loopback subnet in which the ports are free.
func freeSubnet() (int, error) {
	for range 50 {
		n := 20 + rand.IntN(200)
		free := true
		for _, port := range []int{frontPort, controlPort, internalPort, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return n, nil
		}
	}
	return 0, fmt.Errorf("%w: no free loopback subnet", errNotRunnable)
}

func (c *cluster) front(i int) string   { return fmt.Sprintf("127.%d.0.%d", c.subnet, 1+i) }
func (c *cluster) storeIP(i int) string { return fmt.Sprintf("127.%d.0.%d", c.subnet, 11+i) }
func (c *cluster) engineIP(i int) string {
	return fmt.Sprintf("127.%d.0.%d", c.subnet, 41+i)
}
func (c *cluster) entry(i int) string   { return fmt.Sprintf("%s:%d", c.front(i), frontPort) }
func (c *cluster) control(i int) string { return fmt.Sprintf("%s:%d", c.front(i), controlPort) }

// startPlatform starts the platform's API, which accepts all reports.
func (c *cluster) startPlatform() error {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.60:0", c.subnet))
	if err != nil {
		return fmt.Errorf("%w: %v", errNotRunnable, err)
	}
	c.platform = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
	}), Addr: l.Addr().String()}
	go func() { _ = c.platform.Serve(l) }()
	return nil
}

func (c *cluster) settings(role, ip string, zone int, bootstrap bool) string {
	class, serves, memory, fds := "frontend", `["frontend"]`, c.frontMB, 4100
	switch role {
	case "control":
		serves = `["control_plane"]`
	case "store":
		class, serves, memory, fds = "storage", `["storage"]`, c.storeMB, 8200
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = \"%s-%s-1\"\nrole = %q\nmachineClass = %q\nserves = %s\nip = %q\nzone = %q\nregion = \"cartago\"\n", class, c.zones[zone], role, class, serves, ip, c.zones[zone])
	fmt.Fprintf(&b, "internalPorts = [%d,%d]\nseeds = [%q,%q,%q]\nbootstrap = %t\nfaultCounted = true\n", internalPort, internalPort+15, c.control(0), c.control(1), c.control(2), bootstrap)
	if role != "entry" {
		fmt.Fprintf(&b, "dataDir = %q\n", c.dataDir(role, ip))
	}
	b.WriteString("discovery = \"registration\"\nentry = \"vip\"\nheartbeatMs = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\"batch\",\"tenants\",\"leader\"]\nconfigMode = \"highest\"\n")
	b.WriteString("[zones]\n")
	for _, z := range c.zones {
		fmt.Fprintf(&b, "%s = \"cartago\"\n", z)
	}
	b.WriteString("[listen]\n")
	switch role {
	case "entry":
		fmt.Fprintf(&b, "front = \"%s:%d\"\nready = \"%s:%d\"\n", ip, frontPort, ip, readyPort)
	case "control":
		fmt.Fprintf(&b, "control = \"%s:%d\"\n", ip, controlPort)
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = 0.8\ncores = 1\nmemoryMb = %d\nmaxFds = %d\nlinkMbps = 1000.0\n", memory, fds)
	b.WriteString("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n")
	b.WriteString("[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.9\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nrevokeStrict = false\nrevokeMs = 5000\nfencingEnforced = false\nleaseMs = 3000\nthawMs = 300\nwindowS = 5\nusageOff = 0.05\nusageLateS = 10\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\nfinishS = 10\nstatusS = 120\ncancelMs = 3000\nsettleMs = 1000\nquotaOverage = 0.1\n")
	fmt.Fprintf(&b, "[cloud]\naddress = %q\nratePerS = 50.0\nduties = [\"usage\"]\ndutyPerS = 50.0\n", c.platform.Addr)
	return b.String()
}

func (c *cluster) dataDir(role, ip string) string { return filepath.Join(c.dir, "data-"+role+"-"+ip) }

// start starts a process of a role on a host.
func (c *cluster) start(role, ip string, zone int, bootstrap bool) {
	name := role + "-" + ip
	if role != "entry" {
		must(os.MkdirAll(c.dataDir(role, ip), 0o700))
	}
	path := filepath.Join(c.dir, name+".toml")
	must(os.WriteFile(path, []byte(c.settings(role, ip, zone, bootstrap)), 0o600))
	p := &process{name: name, role: role, settings: path, log: filepath.Join(c.dir, name+".log")}
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	c.run(p)
}

// run starts the process of p.
func (c *cluster) run(p *process) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(binary, "host", p.role)
	cmd.Env = []string{settingsEnv + "=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited := make(chan struct{})
	started := make(chan error, 1)
	go func() {
		// The death signal follows the thread.
		runtime.LockOSThread()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		_ = cmd.Wait()
		close(exited)
	}()
	must(<-started)
	p.cmd, p.exited = cmd, exited
}

// close ends all processes that the cluster started and removes its folder.
func (c *cluster) close() {
	close(c.stop)
	c.mu.Lock()
	for _, p := range c.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	c.mu.Unlock()
	for _, e := range c.engines {
		e.close()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(c.dir, keep)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// putConfig sends a configuration until it is acknowledged.
func (c *cluster) putConfig(body string) error {
	end := time.Now().Add(startTimeout)
	last := ""
	for i := 0; time.Now().Before(end); i++ {
		resp, data, err := do(newRequest("PUT", "http://"+c.control(i%3)+"/api/config", body, nil), 2*time.Second)
		if err == nil && resp.StatusCode == http.StatusOK {
			c.rec.line("configuration acknowledged")
			return nil
		}
		if err != nil {
			last = err.Error()
		} else {
			last = fmt.Sprintf("%d %s", resp.StatusCode, data)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: configuration not acknowledged: %s", errNotRunnable, last)
}

// awaitReady waits until all entries are ready.
func (c *cluster) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for i := 0; i < 3; {
		resp, _, err := do(newRequest("GET", fmt.Sprintf("http://%s:%d/api/readyz", c.front(i), readyPort), "", nil), time.Second)
		if err == nil && resp.StatusCode == http.StatusOK {
			i++
			continue
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: entry %d is not ready", errNotRunnable, i)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func newRequest(method, url, body string, header map[string]string) *http.Request {
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, url, r)
	must(err)
	for k, v := range header {
		if k == "Host" {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	return req
}

// do sends a request on a new connection.
func do(req *http.Request, timeout time.Duration) (*http.Response, string, error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// lastLogged returns the time of the last line of a log file with a word, or an empty string.
func lastLogged(path, word string) string {
	data, err := os.ReadFile(path)
	must(err)
	last := ""
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, word) {
			last = line[:min(len(line), 30)]
		}
	}
	return last
}

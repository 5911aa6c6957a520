package demo

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ResourceUsage is the CPU time and memory use of a process.
type ResourceUsage struct {
	CPU time.Duration
	// Memory is the resident memory in bytes.
	Memory int64
}

// ReadResourceUsage reads the resource usage of the processes that have a .pid
// file in a directory and a name with one of the prefixes. Processes that cannot
// be read are left out.
func ReadResourceUsage(dir string, prefixes ...string) map[string]ResourceUsage {
	out := make(map[string]ResourceUsage)
	files, _ := filepath.Glob(filepath.Join(dir, "*.pid"))
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".pid")
		id, err := os.ReadFile(f)
		if err != nil || !hasAnyPrefix(name, prefixes) {
			continue
		}
		if s, err := parseProcStat(strings.TrimSpace(string(id))); err == nil {
			out[name] = s
		}
	}
	return out
}

func hasAnyPrefix(name string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// parseProcStat reads /proc/ID/stat.
func parseProcStat(id string) (ResourceUsage, error) {
	const userTicks, systemTicks, residentPages = 13, 14, 23
	const tick = 10 * time.Millisecond
	data, err := os.ReadFile("/proc/" + id + "/stat")
	if err != nil {
		return ResourceUsage{}, err
	}
	fields := strings.Fields(string(data))
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	return ResourceUsage{
		CPU:    time.Duration(number(userTicks)+number(systemTicks)) * tick,
		Memory: number(residentPages) * int64(os.Getpagesize()),
	}, nil
}

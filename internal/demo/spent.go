package demo

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ResourceUsage is what a process has used.
type ResourceUsage struct {
	CPU time.Duration
	// Memory is the resident memory in bytes.
	Memory int64
}

// ReadResourceUsage reads the processes whose IDs a script left in a folder and whose
// names begin with one of the prefixes.
func ReadResourceUsage(dir string, prefixes ...string) map[string]ResourceUsage {
	out := make(map[string]ResourceUsage)
	files, _ := filepath.Glob(filepath.Join(dir, "*.pid"))
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".pid")
		id, err := os.ReadFile(f)
		if err != nil || !hasAnyPrefix(name, prefixes) {
			continue
		}
		if s, err := readSpent(strings.TrimSpace(string(id))); err == nil {
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

// readSpent reads /proc/ID/stat.
func readSpent(id string) (ResourceUsage, error) {
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

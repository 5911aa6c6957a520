// Package residency decides in which regions requests and jobs may be served and kept.
package residency

import (
	"maps"
	"slices"
	"strings"
)

// separator ends each name in Policy.regions. A name that contains it is left out: no
// region has such a name.
const separator = "\x00"

// Policy is the set of regions that a route and a client account allow together. The zero
// value allows every region. A Policy is immutable and comparable.
type Policy struct {
	restricted bool
	// regions holds the allowed regions, sorted, each followed by separator. It is empty
	// unless restricted is true.
	regions string
}

// NewPolicy returns the policy of a route and a client account that name the given regions.
// Either allows every region if it names none. If both name regions, only those that both
// name are allowed, which may be none.
func NewPolicy(route, account []string) Policy { return newSet(route).And(newSet(account)) }

func newSet(regions []string) Policy {
	if len(regions) == 0 {
		return Policy{}
	}
	sorted := slices.DeleteFunc(slices.Clone(regions), func(r string) bool { return r == "" || strings.Contains(r, separator) })
	slices.Sort(sorted)
	p := Policy{restricted: true}
	for _, r := range slices.Compact(sorted) {
		p.regions += r + separator
	}
	return p
}

// And returns the policy that allows only the regions that both policies allow.
func (p Policy) And(q Policy) Policy {
	if !p.restricted {
		return q
	}
	if !q.restricted {
		return p
	}
	both := Policy{restricted: true}
	for r := range strings.SplitAfterSeq(p.regions, separator) {
		if q.Allows(strings.TrimSuffix(r, separator)) {
			both.regions += r
		}
	}
	return both
}

// IsRestricted reports whether the policy does not allow every region.
func (p Policy) IsRestricted() bool { return p.restricted }

// Allows reports whether the policy allows a region. A restricted policy does not allow the
// empty name, which stands for an unknown region.
func (p Policy) Allows(region string) bool {
	if !p.restricted {
		return true
	}
	for r := range strings.SplitSeq(p.regions, separator) {
		if r == region {
			return region != ""
		}
	}
	return false
}

// String returns the allowed regions for messages and logs.
func (p Policy) String() string {
	switch {
	case !p.restricted:
		return "any region"
	case p.regions == "":
		return "no region"
	}
	return strings.ReplaceAll(strings.TrimSuffix(p.regions, separator), separator, ", ")
}

// Map holds the region of each failure domain. The zero value knows no region. A Map is
// immutable.
type Map struct{ regions map[string]string }

// NewMap returns a map from failure domains to regions.
func NewMap(regions map[string]string) Map { return Map{maps.Clone(regions)} }

// Region returns the region of a failure domain, or an empty string if it is unknown.
func (m Map) Region(domain string) string { return m.regions[domain] }

// Allows reports whether a policy allows a failure domain. A failure domain without a region
// is in no allowed one.
func (m Map) Allows(p Policy, domain string) bool { return p.Allows(m.Region(domain)) }

// MayKeep reports whether a host in a failure domain may keep the data of a job with a
// policy that an entry in the failure domain entry accepted: it is in an allowed region or
// in that of the entry, to which the caller sent the job.
func (m Map) MayKeep(p Policy, entry, domain string) bool {
	return m.Allows(p, domain) || m.sameRegion(entry, domain)
}

func (m Map) sameRegion(a, b string) bool {
	return m.Region(a) != "" && m.Region(a) == m.Region(b)
}

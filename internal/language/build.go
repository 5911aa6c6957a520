package language

import (
	"slices"
	"strconv"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

// allowedProperties lists the properties allowed for each kind of change. A
// kind is the verb and the noun of the change.
var allowedProperties = map[string][]string{
	"create account": {"weight", "priority", "queue"},
	"set account":    {"weight", "priority", "queue"},
	"drop account":   {},
	"grant key":      {"account"},
	"withdraw key":   {},
	"create group":   {"account", "pool", "staleness"},
	"set group":      {"account", "pool", "staleness"},
	"drop group":     {},
	"create route":   {"pool", "open", "repeatable"},
	"set route":      {"pool", "open", "repeatable"},
	"drop route":     {},
	"set target":     {"min", "max"},
	"drop target":    {},
	"drain upstream": {},
	"remove member":  {},

	"evacuate domain": {},
	"end evacuation":  {},
}

// BuildCommand converts a change to a ledger command. A set keeps the current
// values of all properties that it does not name.
func BuildCommand(ch *Change, keyDigest string, s *ledger.State) (ledger.Command, error) {
	kind := ch.Verb + " " + ch.Noun
	allowed, ok := allowedProperties[kind]
	if !ok {
		return ledger.Command{}, errorAt(ch.Pos, "unknown change %q; want one of: %s", kind, strings.Join(changeKinds(), ", "))
	}
	p := &propertyReader{change: ch, allowed: allowed}
	if err := p.validate(); err != nil {
		return ledger.Command{}, err
	}
	c, err := buildByKind(kind, ch, keyDigest, s, p)
	if err == nil {
		err = p.err
	}
	return c, err
}

func buildByKind(kind string, ch *Change, keyDigest string, s *ledger.State, p *propertyReader) (ledger.Command, error) {
	switch kind {
	case "create account", "set account":
		return buildAccount(ch, s, p)
	case "create group", "set group":
		return buildGroup(ch, s, p)
	case "create route", "set route":
		return buildRoute(ch, s, p)
	case "set target":
		return buildTarget(ch, s, p)
	case "grant key":
		return buildGrant(ch, keyDigest, p)
	case "withdraw key":
		return ledger.Command{WithdrawKey: &ledger.WithdrawKey{ID: ch.Name}}, nil
	case "drain upstream":
		return ledger.Command{DrainRequest: &ledger.Drain{Upstream: ch.Name}}, nil
	case "evacuate domain":
		return ledger.Command{Evacuate: &ledger.Evacuate{FailureDomain: ch.Name}}, nil
	case "end evacuation":
		return ledger.Command{EndEvacuation: &ledger.EndEvacuation{FailureDomain: ch.Name}}, nil
	default:
		return ledger.Command{Drop: &ledger.Drop{Kind: catalog.EntityKind(ch.Noun), Name: ch.Name}}, nil
	}
}

func buildAccount(ch *Change, s *ledger.State, p *propertyReader) (ledger.Command, error) {
	a, ok := s.Catalog.Accounts[ch.Name]
	if err := checkExistence(ch, ok); err != nil {
		return ledger.Command{}, err
	}
	a.Name = ch.Name
	a.Weight = p.integer("weight", max(a.Weight, 1))
	a.Priority = p.integer("priority", a.Priority)
	a.MaxQueued = p.integer("queue", a.MaxQueued)
	return ledger.Command{PutAccount: &a}, nil
}

func buildGrant(ch *Change, keyDigest string, p *propertyReader) (ledger.Command, error) {
	if digestLen := len(catalog.Digest("")); len(keyDigest) != digestLen {
		return ledger.Command{}, errorAt(ch.Pos, "grant key %q requires the digest of a secret: want %d characters, got %d",
			ch.Name, digestLen, len(keyDigest))
	}
	k := catalog.Key{ID: ch.Name, Account: p.text("account", ""), Digest: keyDigest}
	return ledger.Command{GrantKey: &k}, p.require("account")
}

func buildGroup(ch *Change, s *ledger.State, p *propertyReader) (ledger.Command, error) {
	g, ok := s.Catalog.Groups[ch.Name]
	if err := checkExistence(ch, ok); err != nil {
		return ledger.Command{}, err
	}
	put := ledger.PutGroup{
		Name:           ch.Name,
		Account:        p.text("account", g.Account),
		Pool:           p.text("pool", g.Pool),
		StalenessBound: p.unsigned("staleness", g.StalenessBound, ledger.MaxStalenessBound),
	}
	return ledger.Command{PutGroup: &put}, p.requireNew(ok, "account", "pool", "staleness")
}

func buildRoute(ch *Change, s *ledger.State, p *propertyReader) (ledger.Command, error) {
	r, ok := s.Catalog.Routes[ch.Name]
	if err := checkExistence(ch, ok); err != nil {
		return ledger.Command{}, err
	}
	r.Name = ch.Name
	r.Pool = p.text("pool", r.Pool)
	r.Open = p.boolean("open", r.Open)
	r.Repeatable = p.boolean("repeatable", r.Repeatable)
	return ledger.Command{PutRoute: &r}, p.requireNew(ok, "pool")
}

func buildTarget(ch *Change, s *ledger.State, p *propertyReader) (ledger.Command, error) {
	domain, pool, found := strings.Cut(ch.Name, "/")
	if !found {
		return ledger.Command{}, errorAt(ch.Pos, "target %q: must have the form FAILUREDOMAIN/POOL", ch.Name)
	}
	t := s.Catalog.Targets[ch.Name]
	t.FailureDomain, t.Pool = domain, pool
	t.Min = p.integer("min", t.Min)
	t.Max = p.integer("max", max(t.Max, t.Min))
	return ledger.Command{PutTarget: &t}, nil
}

func checkExistence(ch *Change, exists bool) error {
	switch {
	case ch.Verb == "create" && exists:
		return errorAt(ch.Pos, "%s %q exists; use set to change it", ch.Noun, ch.Name)
	case ch.Verb == "set" && !exists:
		return errorAt(ch.Pos, "%s %q does not exist; use create to add it", ch.Noun, ch.Name)
	default:
		return nil
	}
}

func changeKinds() []string {
	kinds := make([]string, 0, len(allowedProperties))
	for k := range allowedProperties {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// propertyReader reads the properties of a change and records the first error.
type propertyReader struct {
	change  *Change
	allowed []string
	err     error
}

func (p *propertyReader) validate() error {
	seen := make(map[string]bool)
	for _, prop := range p.change.Properties {
		if !slices.Contains(p.allowed, prop.Key) {
			want := strings.Join(p.allowed, ", ")
			if want == "" {
				want = "end of statement"
			}
			return errorAt(prop.Pos, "unknown property %q; want %s", prop.Key, want)
		}
		if seen[prop.Key] {
			return errorAt(prop.Pos, "duplicate property %q", prop.Key)
		}
		seen[prop.Key] = true
	}
	return nil
}

func (p *propertyReader) find(key string) *Property {
	for _, prop := range p.change.Properties {
		if prop.Key == key {
			return prop
		}
	}
	return nil
}

func (p *propertyReader) integer(key string, fallback int) int {
	prop := p.find(key)
	if prop == nil {
		return fallback
	}
	n, err := strconv.ParseInt(prop.Value, 10, 32)
	if err != nil {
		p.fail(errorAt(prop.Pos, "%s %q: must be a 32-bit integer", key, prop.Value))
	}
	return int(n)
}

// unsigned returns a property between 0 and limit.
func (p *propertyReader) unsigned(key string, fallback, limit uint64) uint64 {
	prop := p.find(key)
	if prop == nil {
		return fallback
	}
	n, err := strconv.ParseUint(prop.Value, 10, 64)
	if err != nil || n > limit {
		p.fail(errorAt(prop.Pos, "%s %s: must be 0 to %d", key, prop.Value, limit))
	}
	return n
}

func (p *propertyReader) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *propertyReader) require(keys ...string) error {
	for _, key := range keys {
		if p.find(key) == nil {
			return errorAt(p.change.Pos, "%s %s requires %s", p.change.Verb, p.change.Noun, key)
		}
	}
	return nil
}

func (p *propertyReader) requireNew(exists bool, keys ...string) error {
	if exists {
		return nil
	}
	return p.require(keys...)
}

func (p *propertyReader) text(key, fallback string) string {
	if prop := p.find(key); prop != nil {
		return prop.Value
	}
	return fallback
}

func (p *propertyReader) boolean(key string, fallback bool) bool {
	prop := p.find(key)
	switch {
	case prop == nil:
		return fallback
	case prop.Value == "yes":
		return true
	case prop.Value == "no":
		return false
	default:
		p.fail(errorAt(prop.Pos, "%s %q: must be yes or no", key, prop.Value))
		return false
	}
}

package language

import (
	"slices"
	"strconv"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

// changeForms lists the properties that each verb and noun takes.
var changeForms = map[string][]string{
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
}

// BuildCommand turns a change into a command. A set starts from the entity as it
// stands.
func BuildCommand(ch *Change, keyDigest string, s *ledger.State) (ledger.Command, error) {
	form := ch.Verb + " " + ch.Noun
	allowed, ok := changeForms[form]
	if !ok {
		return ledger.Command{}, errorAt(ch.Pos, "unknown change %q; want one of: %s", form, strings.Join(formNames(), ", "))
	}
	p := &properties{change: ch, allowed: allowed}
	if err := p.check(); err != nil {
		return ledger.Command{}, err
	}
	c, err := build(form, ch, keyDigest, s, p)
	if err == nil {
		err = p.err
	}
	return c, err
}

func build(form string, ch *Change, keyDigest string, s *ledger.State, p *properties) (ledger.Command, error) {
	switch form {
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
	default:
		return ledger.Command{Drop: &ledger.Drop{Kind: catalog.EntityKind(ch.Noun), Name: ch.Name}}, nil
	}
}

func buildAccount(ch *Change, s *ledger.State, p *properties) (ledger.Command, error) {
	a, ok := s.Catalog.Accounts[ch.Name]
	if err := checkExists(ch, ok); err != nil {
		return ledger.Command{}, err
	}
	a.Name = ch.Name
	a.Weight = p.number("weight", max(a.Weight, 1))
	a.Priority = p.number("priority", a.Priority)
	a.MaxQueued = p.number("queue", a.MaxQueued)
	return ledger.Command{PutAccount: &a}, nil
}

func buildGrant(ch *Change, keyDigest string, p *properties) (ledger.Command, error) {
	if len(keyDigest) != len(catalog.Digest("")) {
		return ledger.Command{}, errorAt(ch.Pos, "a grant needs the digest of a secret")
	}
	k := catalog.Key{ID: ch.Name, Account: p.text("account", ""), Digest: keyDigest}
	return ledger.Command{GrantKey: &k}, p.require("account")
}

func buildGroup(ch *Change, s *ledger.State, p *properties) (ledger.Command, error) {
	g, ok := s.Catalog.Groups[ch.Name]
	if err := checkExists(ch, ok); err != nil {
		return ledger.Command{}, err
	}
	put := ledger.PutGroup{
		Name:           ch.Name,
		Account:        p.text("account", g.Account),
		Pool:           p.text("pool", g.Pool),
		StalenessBound: uint64(p.number("staleness", int(g.StalenessBound))),
	}
	return ledger.Command{PutGroup: &put}, p.requireNew(ok, "account", "pool", "staleness")
}

func buildRoute(ch *Change, s *ledger.State, p *properties) (ledger.Command, error) {
	r, ok := s.Catalog.Routes[ch.Name]
	if err := checkExists(ch, ok); err != nil {
		return ledger.Command{}, err
	}
	r.Name = ch.Name
	r.Pool = p.text("pool", r.Pool)
	r.Open = p.yes("open", r.Open)
	r.Repeatable = p.yes("repeatable", r.Repeatable)
	return ledger.Command{PutRoute: &r}, p.requireNew(ok, "pool")
}

func buildTarget(ch *Change, s *ledger.State, p *properties) (ledger.Command, error) {
	domain, pool, found := strings.Cut(ch.Name, "/")
	if !found {
		return ledger.Command{}, errorAt(ch.Pos, "target %q: want FAILUREDOMAIN/POOL", ch.Name)
	}
	t := s.Catalog.Targets[ch.Name]
	t.FailureDomain, t.Pool = domain, pool
	t.Min = p.number("min", t.Min)
	t.Max = p.number("max", max(t.Max, t.Min))
	return ledger.Command{PutTarget: &t}, nil
}

func checkExists(ch *Change, exists bool) error {
	switch {
	case ch.Verb == "create" && exists:
		return errorAt(ch.Pos, "%s %q exists; use set to change it", ch.Noun, ch.Name)
	case ch.Verb == "set" && !exists:
		return errorAt(ch.Pos, "no %s %q; use create", ch.Noun, ch.Name)
	default:
		return nil
	}
}

func formNames() []string {
	names := make([]string, 0, len(changeForms))
	for n := range changeForms {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// properties reads the properties of a change and keeps the first error.
type properties struct {
	change  *Change
	allowed []string
	err     error
}

func (p *properties) check() error {
	seen := make(map[string]bool)
	for _, prop := range p.change.Properties {
		if !slices.Contains(p.allowed, prop.Key) {
			want := strings.Join(p.allowed, ", ")
			if want == "" {
				want = "the end"
			}
			return errorAt(prop.Pos, "unknown property %q; want %s", prop.Key, want)
		}
		if seen[prop.Key] {
			return errorAt(prop.Pos, "property %q is given twice", prop.Key)
		}
		seen[prop.Key] = true
	}
	return nil
}

func (p *properties) find(key string) *Property {
	for _, prop := range p.change.Properties {
		if prop.Key == key {
			return prop
		}
	}
	return nil
}

func (p *properties) number(key string, otherwise int) int {
	prop := p.find(key)
	if prop == nil {
		return otherwise
	}
	n, err := strconv.ParseInt(prop.Value, 10, 32)
	if err != nil {
		p.fail(errorAt(prop.Pos, "%s %q: want a whole number", key, prop.Value))
	}
	return int(n)
}

func (p *properties) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *properties) require(keys ...string) error {
	for _, key := range keys {
		if p.find(key) == nil {
			return errorAt(p.change.Pos, "%s %s needs %s", p.change.Verb, p.change.Noun, key)
		}
	}
	return nil
}

func (p *properties) requireNew(exists bool, keys ...string) error {
	if exists {
		return nil
	}
	return p.require(keys...)
}

func (p *properties) text(key, otherwise string) string {
	if prop := p.find(key); prop != nil {
		return prop.Value
	}
	return otherwise
}

func (p *properties) yes(key string, otherwise bool) bool {
	prop := p.find(key)
	switch {
	case prop == nil:
		return otherwise
	case prop.Value == "yes":
		return true
	case prop.Value == "no":
		return false
	default:
		p.fail(errorAt(prop.Pos, "%s %q: want yes or no", key, prop.Value))
		return false
	}
}

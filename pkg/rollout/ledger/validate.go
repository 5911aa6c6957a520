package ledger

import (
	"math"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// MaxStalenessBound is the largest staleness bound of a trainer group, in weight
// versions. It is what a statement of the command language can express.
const MaxStalenessBound = math.MaxInt32

// validate checks a command of an operator against the current state.
func (s *State) validate(c Command) error {
	cat := s.Catalog
	switch {
	case c.PutAccount != nil:
		if c.PutAccount.Weight < 1 {
			return rollout.NewError(rollout.KindInvalidInput, "weight of account %q must be at least 1", c.PutAccount.Name)
		}
		return nil
	case c.GrantKey != nil:
		return s.validateGrantKey(*c.GrantKey)
	case c.WithdrawKey != nil:
		return requireExists(cat.Keys, "key", c.WithdrawKey.ID)
	case c.PutGroup != nil:
		return s.validatePutGroup(*c.PutGroup)
	case c.PutTarget != nil:
		if t := c.PutTarget; t.Min < 0 || t.Max < t.Min {
			return rollout.NewError(rollout.KindInvalidInput, "target %s needs 0 <= min <= max", t.Name())
		}
		return nil
	case c.Drop != nil:
		return s.validateDrop(*c.Drop)
	case c.DrainRequest != nil:
		return requireExists(cat.Upstreams, "upstream", c.DrainRequest.Upstream)
	case c.Evacuate != nil:
		return s.validateDomain(c.Evacuate.FailureDomain, c.Evacuate.HasHost)
	case c.EndEvacuation != nil:
		return s.validateDomain(c.EndEvacuation.FailureDomain, c.EndEvacuation.HasHost)
	default:
		return nil
	}
}

func (s *State) validateDrop(d Drop) error {
	cat := s.Catalog
	switch d.Kind {
	case catalog.KindAccount:
		for _, k := range cat.Keys {
			if k.Account == d.Name && !k.Withdrawn {
				return rollout.NewError(rollout.KindConflict, "account %q still has key %q", d.Name, k.ID)
			}
		}
		return requireExists(cat.Accounts, "account", d.Name)
	case catalog.KindGroup:
		return requireExists(cat.Groups, "group", d.Name)
	case catalog.KindRoute:
		return requireExists(cat.Routes, "route", d.Name)
	case catalog.KindTarget:
		return requireExists(cat.Targets, "target", d.Name)
	default:
		return rollout.NewError(rollout.KindInvalidInput, "a %s cannot be dropped", d.Kind)
	}
}

// validateGrantKey checks that the account of a new key exists and that neither
// the ID nor the secret of the key is taken.
func (s *State) validateGrantKey(k catalog.Key) error {
	if err := requireExists(s.Catalog.Accounts, "account", k.Account); err != nil {
		return err
	}
	if _, ok := s.Catalog.Keys[k.ID]; ok {
		return rollout.NewError(rollout.KindConflict, "key %q exists", k.ID)
	}
	if old, ok := s.Catalog.ByDigest[k.Digest]; ok {
		return rollout.NewError(rollout.KindConflict, "secret is in use by key %q", old.ID)
	}
	return nil
}

// validatePutGroup checks that the account of a group exists and that its
// staleness bound is in range.
func (s *State) validatePutGroup(g PutGroup) error {
	if g.StalenessBound > MaxStalenessBound {
		return rollout.NewError(rollout.KindInvalidInput, "staleness of group %q is %d, must be at most %d",
			g.Name, g.StalenessBound, MaxStalenessBound)
	}
	return requireExists(s.Catalog.Accounts, "account", g.Account)
}

// validateDomain checks that a host or an upstream is in a failure domain. A domain
// that was lost while it is evacuated is valid too, so that the evacuation can end.
func (s *State) validateDomain(domain string, hasHost bool) error {
	if _, evacuated := s.Catalog.Evacuations[domain]; evacuated || hasHost || s.Catalog.HasDomain(domain) {
		return nil
	}
	return rollout.NewError(rollout.KindNotFound, "no failure domain %q", domain)
}

// requireExists returns a not-found error if the table has no such entity.
func requireExists[V any](table map[string]V, kind, name string) error {
	if _, ok := table[name]; !ok {
		return rollout.NewError(rollout.KindNotFound, "no %s %q", kind, name)
	}
	return nil
}

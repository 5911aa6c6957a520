// Package show builds the tables for the show statements of operators.
package show

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/language"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

const msPerMinute = 60_000.0

// tableBuilders maps the name of each table to the function that builds it.
var tableBuilders = map[string]func(s Source, now rollout.Millis) *language.Table{
	"accounts":  showAccounts,
	"daemons":   showDaemons,
	"domains":   showDomains,
	"groups":    showGroups,
	"keys":      showKeys,
	"members":   showMembers,
	"orders":    showOrders,
	"poisons":   showPoisons,
	"routes":    showRoutes,
	"samples":   showSamples,
	"steps":     showSteps,
	"targets":   showTargets,
	"upstreams": showUpstreams,
	"usage":     showUsage,
	"windows":   showWindows,

	"evacuations": showEvacuations,
}

// Source holds the state from which the tables are built.
type Source struct {
	State *ledger.State
	Fleet *fleet.Table
	Node  *quorum.Node
}

// Table builds the table of a show statement and returns the selected rows.
func Table(s Source, now rollout.Millis, st *language.Show) (*language.Table, error) {
	build, ok := tableBuilders[st.Table]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(tableBuilders)), ", ")
		return nil, rollout.NewError(rollout.KindInvalidInput, "column %d: no table %q; want one of: %s", st.Pos.Column, st.Table, names)
	}
	return build(s, now).Select(st)
}

func newTable(columns ...string) *language.Table { return &language.Table{Columns: columns} }

func addRow(table *language.Table, cells ...language.Cell) { table.Rows = append(table.Rows, cells) }

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

func showAccounts(s Source, _ rollout.Millis) *language.Table {
	out := newTable("Name", "Weight", "Priority", "MaxQueued", "Keys")
	for _, a := range sortedValues(s.State.Catalog.Accounts) {
		keys := 0
		for _, k := range s.State.Catalog.Keys {
			if k.Account == a.Name && !k.Withdrawn {
				keys++
			}
		}
		addRow(out, language.Text(a.Name), language.Int(a.Weight), language.Int(a.Priority), language.Int(a.MaxQueued), language.Int(keys))
	}
	return out
}

func showDaemons(s Source, now rollout.Millis) *language.Table {
	out := newTable("Name", "Kind", "FailureDomain", "Address", "Version", "SilentMS")
	for _, d := range s.Fleet.Sorted() {
		addRow(out, language.Text(d.Name), language.Text(d.Kind), language.Text(d.FailureDomain),
			language.Text(d.Address), language.Int(d.Version), language.Int(now-d.RenewedMS))
	}
	return out
}

func showDomains(s Source, _ rollout.Millis) *language.Table {
	out := newTable("FailureDomain", "Pool", "Upstreams", "Leaving", "Slots", "Running")
	type sum struct{ upstreams, leaving, slots, running int }
	sums := make(map[string]sum)
	for _, u := range s.State.Catalog.Upstreams {
		key := u.FailureDomain + "/" + u.Pool
		total := sums[key]
		total.upstreams++
		total.slots += u.Slots
		if u.Leaving {
			total.leaving++
		}
		load, _ := s.Fleet.Load(u)
		total.running += load.Running
		sums[key] = total
	}
	for _, key := range slices.Sorted(maps.Keys(sums)) {
		domain, pool, _ := strings.Cut(key, "/")
		total := sums[key]
		addRow(out, language.Text(domain), language.Text(pool), language.Int(total.upstreams),
			language.Int(total.leaving), language.Int(total.slots), language.Int(total.running))
	}
	return out
}

func showEvacuations(s Source, now rollout.Millis) *language.Table {
	out := newTable("FailureDomain", "Begun", "AgeMS", "Upstreams", "Running")
	for _, e := range sortedValues(s.State.Catalog.Evacuations) {
		upstreams, running := 0, 0
		for _, u := range s.State.Catalog.Upstreams {
			if u.FailureDomain != e.FailureDomain {
				continue
			}
			upstreams++
			load, _ := s.Fleet.Load(u)
			running += load.Running
		}
		begun := time.UnixMilli(int64(e.SinceMS)).UTC().Format(time.RFC3339)
		addRow(out, language.Text(e.FailureDomain), language.Text(begun), language.Int(now-e.SinceMS),
			language.Int(upstreams), language.Int(running))
	}
	return out
}

func showGroups(s Source, _ rollout.Millis) *language.Table {
	out := newTable("Name", "Account", "Pool", "Staleness", "Version", "OldestUsable", "Acknowledged", "Waiting", "Stale", "Lost")
	for _, g := range sortedValues(s.State.Catalog.Groups) {
		gs := s.State.Streams.Groups[g.Name]
		if gs == nil {
			gs = &stream.GroupStream{}
		}
		addRow(out, language.Text(g.Name), language.Text(g.Account), language.Text(g.Pool),
			language.Int(g.StalenessBound), language.Int(g.Version), language.Int(g.OldestUsable()),
			language.Int(gs.Acknowledged), language.Int(len(gs.Samples)), language.Int(gs.Stale), language.Int(gs.Lost))
	}
	return out
}

func showKeys(s Source, _ rollout.Millis) *language.Table {
	out := newTable("ID", "Account", "Withdrawn")
	for _, k := range sortedValues(s.State.Catalog.Keys) {
		addRow(out, language.Text(k.ID), language.Text(k.Account), language.YesNo(k.Withdrawn))
	}
	return out
}

func showMembers(s Source, _ rollout.Millis) *language.Table {
	out := newTable("ID", "Address", "Role", "CaughtUp")
	add := func(ms []quorum.Member, role string) {
		for _, m := range ms {
			r := role
			if m.ID == s.Node.ID() {
				r = "leader"
			}
			addRow(out, language.Text(m.ID), language.Text(m.Address), language.Text(r),
				language.YesNo(m.ID == s.Node.ID() || s.Node.CaughtUp(m.ID)))
		}
	}
	add(s.Node.Members().Voters, "voter")
	add(s.Node.Members().Learners, "learner")
	return out
}

func showOrders(s Source, now rollout.Millis) *language.Table {
	out := newTable("ID", "Action", "FailureDomain", "Pool", "Upstream", "State", "AgeMS")
	for _, id := range s.State.OrderIDs {
		o := s.State.Orders[id]
		addRow(out, language.Text(o.ID), language.Text(o.Action), language.Text(o.FailureDomain), language.Text(o.Pool),
			language.Text(o.Upstream), language.Text(o.State), language.Int(now-o.AtMS))
	}
	return out
}

func showPoisons(s Source, now rollout.Millis) *language.Table {
	out := newTable("Fingerprint", "Crashes", "ForgottenInMS")
	for _, p := range sortedValues(s.State.Catalog.Poisons) {
		addRow(out, language.Text(p.Fingerprint), language.Int(len(p.Crashes)), language.Int(p.UntilMS-now))
	}
	return out
}

func showRoutes(s Source, _ rollout.Millis) *language.Table {
	out := newTable("Name", "Pool", "Open", "Repeatable")
	for _, r := range sortedValues(s.State.Catalog.Routes) {
		addRow(out, language.Text(r.Name), language.Text(r.Pool), language.YesNo(r.Open), language.YesNo(r.Repeatable))
	}
	return out
}

func showSamples(s Source, _ rollout.Millis) *language.Table {
	out := newTable("Group", "Position", "Step", "Index", "OldestVersion", "NewestVersion", "Lag", "Score", "Void")
	for _, name := range slices.Sorted(maps.Keys(s.State.Streams.Groups)) {
		g := s.State.Catalog.Groups[name]
		for _, sample := range s.State.Streams.Groups[name].Samples {
			oldest, newest := sample.VersionRange()
			addRow(out, language.Text(name), language.Int(sample.Position), language.Text(sample.Step), language.Int(sample.Index),
				language.Int(oldest), language.Int(newest), language.Int(g.Version-min(oldest, g.Version)),
				language.Float(sample.Score), language.Text(sample.Void))
		}
	}
	return out
}

func showSteps(s Source, _ rollout.Millis) *language.Table {
	out := newTable("Group", "Step", "Size", "Missing", "Entry")
	for _, name := range slices.Sorted(maps.Keys(s.State.Streams.Groups)) {
		for _, st := range s.State.Streams.Groups[name].Steps {
			addRow(out, language.Text(name), language.Text(st.ID), language.Int(st.Size),
				language.Int(len(st.MissingIndexes())), language.Text(st.Entry))
		}
	}
	return out
}

func showTargets(s Source, _ rollout.Millis) *language.Table {
	out := newTable("FailureDomain", "Pool", "Min", "Max", "Running")
	for _, target := range sortedValues(s.State.Catalog.Targets) {
		running := 0
		for _, u := range s.State.Catalog.Upstreams {
			if u.Pool == target.Pool && u.FailureDomain == target.FailureDomain && !u.Leaving {
				running++
			}
		}
		addRow(out, language.Text(target.FailureDomain), language.Text(target.Pool),
			language.Int(target.Min), language.Int(target.Max), language.Int(running))
	}
	return out
}

func showUpstreams(s Source, now rollout.Millis) *language.Table {
	out := newTable("ID", "Kind", "Pool", "FailureDomain", "Host", "Agent", "Leaving", "Evacuated", "Slots", "Running", "Waiting", "Versions", "PaidMinutes")
	for _, u := range s.State.Catalog.SortedUpstreams() {
		load, _ := s.Fleet.Load(u)
		addRow(out, language.Text(u.ID), language.Text(u.Kind), language.Text(u.Pool), language.Text(u.FailureDomain),
			language.Text(u.Host), language.Text(u.Agent), language.YesNo(u.Leaving), language.YesNo(u.Evacuated), language.Int(u.Slots),
			language.Int(load.Running), language.Int(load.Waiting), language.Text(versionsText(u)),
			language.Float(float64(now-u.SinceMS)/msPerMinute))
	}
	return out
}

func showUsage(s Source, _ rollout.Millis) *language.Table {
	out := newTable("Window", "Account", "Pool", "Requests", "InputTokens", "OutputTokens", "UpstreamMS", "Closed", "Reported")
	add := func(window uint64, lines []usage.Line, closed, reported bool) {
		for _, l := range lines {
			addRow(out, language.Int(window), language.Text(l.Account), language.Text(l.Pool), language.Int(l.Requests),
				language.Int(l.InputTokens), language.Int(l.OutputTokens), language.Int(l.UpstreamMS),
				language.YesNo(closed), language.YesNo(reported))
		}
	}
	for _, w := range s.State.Usage.Windows {
		add(w.Number, w.Lines, true, w.Reported)
	}
	add(s.State.Usage.NextWindow, s.State.Usage.Open, false, false)
	return out
}

func showWindows(s Source, _ rollout.Millis) *language.Table {
	out := newTable("Window", "FromMS", "ToMS", "Lines", "Reported")
	for _, w := range s.State.Usage.Windows {
		addRow(out, language.Int(w.Number), language.Int(w.FromMS), language.Int(w.ToMS), language.Int(len(w.Lines)), language.YesNo(w.Reported))
	}
	return out
}

func versionsText(u catalog.Upstream) string {
	var parts []string
	for _, g := range u.GroupNames() {
		parts = append(parts, g+":"+language.Int(u.Versions[g]).Text)
	}
	return strings.Join(parts, ",")
}

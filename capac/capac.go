// Package capac works out what each role needs at a given size of the fleet,
// from slopes that committed benchmarks measured. docs/CAPACITY.md holds its
// tables; a test compares them.
package capac

import (
	"fmt"
	"strings"
)

// Slope is a measured cost.
type Slope struct {
	Name    string
	Value   float64
	Unit    string
	Command string // benchmark that gives the value
}

// The slopes, as measured on a shared machine of 10 cores (AMD EPYC).
var (
	ProposeBytes   = Slope{"log proposal, 5 members", 788, "B", "go test ./raft -run xxx -bench Propose"}
	HeartbeatBytes = Slope{"idle log, 5 members, leader", 3333, "B/s", "go test ./raft -run xxx -bench IdleTick"}
	SaveTime       = Slope{"synced write of the log", 77, "us", "go test ./store -run xxx -bench Save"}
	ProposeTime    = Slope{"command through the log of one member", 282, "us", "go test ./ctrl -run xxx -bench Propose"}
	ReportTime     = Slope{"report of an entry, 16 databases, both ends", 42, "us", "go test ./ctrl -run xxx -bench Observe"}
	ReportBase     = Slope{"report without databases", 20, "B", "go test ./ctrl -run xxx -bench Observe"}
	ReportDatabase = Slope{"report, for each database", 46, "B", "go test ./ctrl -run xxx -bench Observe"}
	OpinionTime    = Slope{"one observation in the failure detector", 0.2, "us", "go test ./promo -run xxx -bench Report"}
	StateHeap      = Slope{"shared state, 4,000 databases and 2,700 instances", 5.84, "MB", "go test ./state -run xxx -bench Restore"}
	SnapshotBytes  = Slope{"snapshot of the shared state at that size", 1636185, "B", "go test ./state -run xxx -bench Snapshot"}
	ApplyTime      = Slope{"restart of an entry applied to the state", 82, "us", "go test ./state -run xxx -bench ApplyRestart"}
	ChangeBytes    = Slope{"small change, for each instance", 458, "B", "go test ./spread -run xxx -bench Spread -benchtime 3x"}
	DocumentBytes  = Slope{"document of 10 KB, for each instance", 10449, "B", "go test ./spread -run xxx -bench Spread -benchtime 3x"}
	IdleBytes      = Slope{"digests, for each instance", 23.6, "B/s", "go test ./spread -run xxx -bench Spread -benchtime 3x"}
	SlowestChange  = Slope{"slowest change over 256 instances", 995, "ms", "go test ./spread -run xxx -bench Spread -benchtime 3x"}
	DatabaseMemory = Slope{"database in use at an entry, with the emulated server's side", 156, "KB", "go test ./entry -run xxx -bench Database"}
	CallerMemory   = Slope{"idle caller at an entry", 10.5, "KB", "tamarackcross measure overhead"}
	StatementTime  = Slope{"read through an entry less the direct read, all processes", 46, "us", "tamarackcross measure overhead"}
	LeaseTime      = Slope{"ask at the broker of a backend server, 8 holders", 1.5, "us", "go test ./share -run xxx -bench ."}
)

// Slopes lists every slope in the order of the page.
var Slopes = []Slope{
	ProposeBytes, HeartbeatBytes, SaveTime, ProposeTime, ReportTime, ReportBase, ReportDatabase, OpinionTime,
	StateHeap, SnapshotBytes, ApplyTime, ChangeBytes, DocumentBytes, IdleBytes, SlowestChange, DatabaseMemory,
	CallerMemory, StatementTime, LeaseTime,
}

// Fleet is a size of the fleet.
type Fleet struct {
	Name       string
	Nodes      float64
	Databases  float64
	Members    float64 // of each database
	Callers    float64
	Statements float64 // a second
	Configs    float64 // changes of the configuration a day
	Restarts   float64 // restarts, replacements and failures of instances a day
	Promotions float64 // a day
	PerBase    float64 // entries that serve one database
}

// The sizes of the page. Today's numbers of callers and statements are not
// stated by the deployments; those here are what eight entries are sized for.
var (
	Today    = Fleet{"today (one site)", 8, 3, 3, 4_000, 1_500, 10, 8, 0.1, 8}
	TwoYears = Fleet{"in two years", 2_700, 4_000, 3, 16e6, 1.3e6, 2_100, 1_030, 3, 12}
)

// Limits of the control part of a node.
const (
	limitBytes  = 4096.0 // B/s
	limitMemory = 64.0   // MB
	limitCore   = 2.1    // percent of a core
	limitSpread = 5000.0 // ms for a change to be in force everywhere
	setAside    = 14.0   // instances that may be set aside for control
)

const (
	day            = 86400.0
	reportRate     = 1 / 0.15 // reports a second
	fullEvery      = 3.0      // seconds between full reports
	transportBytes = 150.0    // drpc, TCP and IP around a small message and its answer
	watchRate      = 5.0      // group_watch calls a second on an idle database
	watchBytes     = 400.0    // request, three rows, headers
	leaseRate      = 20.0     // renewals a second of an entry that uses a backend server
	leaseBytes     = 2 * 200.0
	restartChanges = 2.0 // leave and return
)

// Row is one quantity for one size.
type Row struct {
	Role      string
	Quantity  string
	Unit      string
	Value     func(Fleet) float64
	Limit     float64 // 0 for none
	Mechanism string
}

// databases returns the number of databases that one entry serves.
func databases(f Fleet) float64 { return f.Databases * f.PerBase / f.Nodes }

// changes returns the small changes of the shared state a second.
func changes(f Fleet) float64 {
	return (f.Restarts*restartChanges + 2*f.Promotions) / day
}

func reportBytes(f Fleet) float64 {
	full := ReportBase.Value + ReportDatabase.Value*databases(f)
	return reportRate*(ReportBase.Value+transportBytes) + full/fullEvery
}

func spreadBytes(f Fleet) float64 {
	return IdleBytes.Value + changes(f)*ChangeBytes.Value + f.Configs/day*DocumentBytes.Value +
		f.Restarts/day*SnapshotBytes.Value/f.Nodes
}

// Rows are the quantities of the page.
var Rows = []Row{
	{"entry", "callers", "", func(f Fleet) float64 { return f.Callers / f.Nodes }, 0, "pooled buffers, two small stacks"},
	{"entry", "memory for callers", "MB", func(f Fleet) float64 { return f.Callers / f.Nodes * CallerMemory.Value / 1024 }, 0, "pooled buffers"},
	{"entry", "statements a second", "", func(f Fleet) float64 { return f.Statements / f.Nodes }, 0, "one pipeline a session"},
	{"entry", "processor for statements", "% of a core", func(f Fleet) float64 { return f.Statements / f.Nodes * StatementTime.Value / 1e4 }, 0, "frames are relayed, not decoded"},
	{"entry", "databases served", "", databases, 0, "placement, 12 entries a database (not built)"},
	{"entry, control part", "memory for the shared state", "MB", func(f Fleet) float64 { return StateHeap.Value * f.Databases / TwoYears.Databases }, limitMemory, "one immutable view, shared by readers"},
	{"entry, control part", "memory for databases in use", "MB", func(f Fleet) float64 { return databases(f) * DatabaseMemory.Value / 1024 }, limitMemory, "runtime state at first use"},
	{"entry, control part", "bytes for reports", "B/s", reportBytes, limitBytes, "reports leave out members that are well"},
	{"entry, control part", "bytes for the shared state", "B/s", spreadBytes, limitBytes, "push to 4 peers, digests, long changes are pulled once"},
	{"entry, control part", "bytes for reports and state", "B/s", func(f Fleet) float64 { return reportBytes(f) + spreadBytes(f) }, limitBytes, "both"},
	{"entry, control part", "processor for reports", "% of a core", func(f Fleet) float64 { return reportRate * ReportTime.Value / 1e4 }, limitCore, "one report in 150 ms, both ends counted"},
	{"entry, control part", "bytes for the watch of databases", "B/s", func(f Fleet) float64 { return databases(f) * watchRate * watchBytes }, limitBytes, "group_watch by each entry that serves the database"},
	{"entry, control part", "bytes for leases, all members in use", "B/s", func(f Fleet) float64 { return databases(f) * f.Members * leaseRate * leaseBytes }, limitBytes, "leases of 200 ms, renewed four times"},
	{"control leader", "reports a second", "", func(f Fleet) float64 { return f.Nodes * reportRate }, 0, "one connection an entry"},
	{"control leader", "processor for reports", "% of a core", func(f Fleet) float64 {
		return f.Nodes * reportRate * (ReportTime.Value/2 + databases(f)*OpinionTime.Value) / 1e4
	}, 0, "batched in one loop"},
	{"control leader", "bytes for reports", "KB/s", func(f Fleet) float64 { return f.Nodes * reportBytes(f) / 1024 }, 0, "as above"},
	{"control member", "commands a day", "", func(f Fleet) float64 { return changes(f)*day + f.Configs }, 0, "replicated log"},
	{"control member", "bytes for the log", "B/s", func(f Fleet) float64 {
		return HeartbeatBytes.Value + (changes(f)+f.Configs/day)*(ProposeBytes.Value+DocumentBytes.Value)
	}, 0, "heartbeats of 60 ms, five members"},
	{"control member", "memory for state and snapshot", "MB", func(f Fleet) float64 {
		return (StateHeap.Value + 3*SnapshotBytes.Value/1e6) * f.Databases / TwoYears.Databases
	}, limitMemory, "view, snapshot being taken and being sent"},
	{"control", "instances set aside", "", func(f Fleet) float64 {
		if f.Nodes < 100 {
			return 0
		}
		return 5
	}, setAside, "five members of the log, on instances of their own at this size"},
	{"fleet", "time for a change to be in force", "ms", func(Fleet) float64 { return SlowestChange.Value }, limitSpread, "push, digest exchange each second; measured at 256"},
}

// Table renders the rows for the given sizes as Markdown.
func Table(sizes ...Fleet) string {
	var b strings.Builder
	b.WriteString("| role | quantity |")
	for _, f := range sizes {
		fmt.Fprintf(&b, " %s |", f.Name)
	}
	b.WriteString(" limit | fits | mechanism |\n|---|---|" + strings.Repeat("---|", len(sizes)) + "---|---|---|\n")
	for _, r := range Rows {
		fmt.Fprintf(&b, "| %s | %s |", r.Role, r.Quantity)
		for _, f := range sizes {
			fmt.Fprintf(&b, " %s |", quantity(r.Value(f), r.Unit))
		}
		last := r.Value(sizes[len(sizes)-1])
		fmt.Fprintf(&b, " %s | %s | %s |\n", limit(r), fits(r, last), r.Mechanism)
	}
	return b.String()
}

// SlopeTable renders the slopes as Markdown.
func SlopeTable() string {
	var b strings.Builder
	b.WriteString("| slope | value | command |\n|---|---|---|\n")
	for _, s := range Slopes {
		fmt.Fprintf(&b, "| %s | %s | `%s` |\n", s.Name, quantity(s.Value, s.Unit), s.Command)
	}
	return b.String()
}

func quantity(v float64, unit string) string {
	text := fmt.Sprintf("%.2f", v)
	if v >= 100 || v == float64(int64(v)) {
		text = fmt.Sprintf("%.0f", v)
	}
	return strings.TrimSpace(text + " " + unit)
}

func limit(r Row) string {
	if r.Limit == 0 {
		return "–"
	}
	return quantity(r.Limit, r.Unit)
}

func fits(r Row, v float64) string {
	switch {
	case r.Limit == 0:
		return "–"
	case v <= r.Limit:
		return "yes"
	default:
		return "**no**"
	}
}

// Package capac computes the resources that each role needs at a given size of the
// fleet. It multiplies unit costs from the benchmarks of the repository.
// docs/CAPACITY.md contains its tables, and a test compares them.
package capac

import (
	"fmt"
	"strings"
)

// Slope is the cost of one unit of work or data, as a benchmark measures it.
type Slope struct {
	Name    string
	Value   float64
	Unit    string
	Command string // benchmark that reports the value
}

// The slopes, from a shared machine of 10 cores (AMD EPYC).
var (
	ProposeBytes     = Slope{"log proposal, 5 members", 788, "B", "go test ./raft -run xxx -bench Propose"}
	HeartbeatBytes   = Slope{"idle log, 5 members, leader", 3333, "B/s", "go test ./raft -run xxx -bench IdleTick"}
	SaveTime         = Slope{"synced write of the log", 77, "us", "go test ./store -run xxx -bench Save"}
	ProposeTime      = Slope{"command through the log of one member", 282, "us", "go test ./ctrl -run xxx -bench Propose"}
	ReportTime       = Slope{"report of an entry, 16 databases, both ends", 42, "us", "go test ./ctrl -run xxx -bench Observe"}
	ReportBase       = Slope{"report without databases", 20, "B", "go test ./ctrl -run xxx -bench Observe"}
	ReportDatabase   = Slope{"report, for each database", 46, "B", "go test ./ctrl -run xxx -bench Observe"}
	ObservationTime  = Slope{"one observation in the failure detector", 0.2, "us", "go test ./promo -run xxx -bench Report"}
	StateHeap        = Slope{"shared state, 4,000 databases and 2,700 instances", 5.84, "MB", "go test ./state -run xxx -bench Restore"}
	SnapshotBytes    = Slope{"snapshot of the shared state at that size", 1636185, "B", "go test ./state -run xxx -bench Snapshot"}
	ApplyTime        = Slope{"restart of an entry applied to the state", 82, "us", "go test ./state -run xxx -bench ApplyRestart"}
	ChangeBytes      = Slope{"small change, for each instance", 458, "B", "go test ./spread -run xxx -bench Spread -benchtime 3x"}
	DocumentBytes    = Slope{"document of 10 KB, for each instance", 10449, "B", "go test ./spread -run xxx -bench Spread -benchtime 3x"}
	DigestBytes      = Slope{"digests, for each instance", 23.6, "B/s", "go test ./spread -run xxx -bench Spread -benchtime 3x"}
	SlowestChange    = Slope{"slowest change over 256 instances", 995, "ms", "go test ./spread -run xxx -bench Spread -benchtime 3x"}
	DatabaseMemory   = Slope{"database in use at an entry, with the emulated server's side", 156, "KB", "go test ./entry -run xxx -bench Database"}
	CallerMemory     = Slope{"idle caller at an entry", 10.5, "KB", "tamarackcross measure overhead"}
	StatementTime    = Slope{"read through an entry less the direct read, all processes", 46, "us", "tamarackcross measure overhead"}
	LeaseRequestTime = Slope{"ask at the broker of a backend server, 8 holders", 1.5, "us", "go test ./share -run xxx -bench ."}
)

// Slopes lists all slopes in the order of SlopeTable.
var Slopes = []Slope{
	ProposeBytes, HeartbeatBytes, SaveTime, ProposeTime, ReportTime, ReportBase, ReportDatabase, ObservationTime,
	StateHeap, SnapshotBytes, ApplyTime, ChangeBytes, DocumentBytes, DigestBytes, SlowestChange, DatabaseMemory,
	CallerMemory, StatementTime, LeaseRequestTime,
}

// Fleet describes the size of a fleet and its load.
type Fleet struct {
	Name               string
	Instances          float64
	Databases          float64
	Members            float64 // for each database
	Callers            float64
	Statements         float64 // per second, all callers together
	ConfigChanges      float64 // per day
	Restarts           float64 // restarts, replacements and failures of instances per day
	Promotions         float64 // per day
	EntriesPerDatabase float64 // number of entries that serve a database
}

// The sizes in the table. The deployments of today don't state their numbers of
// callers and statements; these are the numbers that eight entries are sized for.
var (
	Today    = Fleet{"today (one site)", 8, 3, 3, 4_000, 1_500, 10, 8, 0.1, 8}
	TwoYears = Fleet{"in two years", 2_700, 4_000, 3, 16e6, 1.3e6, 2_100, 1_030, 3, 12}
)

// Limits of what control may use, on each instance and in the fleet.
const (
	limitBytesPerSecond = 4096.0
	limitMemoryMB       = 64.0
	limitCorePercent    = 2.1    // of one core
	limitChangeMillis   = 5000.0 // from a change to the time when it is in force on all instances
	maxControlInstances = 14.0   // instances used for nothing but control
)

const (
	secondsPerDay             = 86400.0
	reportsPerSecond          = 1 / 0.15 // an entry reports every 150 ms
	fullReportIntervalSeconds = 3.0      // between reports with all databases of an entry
	messageOverheadBytes      = 150.0    // headers of drpc, TCP and IP for a small message and its answer
	watchCallsPerSecond       = 5.0      // group_watch calls of an entry on an idle database
	watchCallBytes            = 400.0    // request, answer of three rows, headers
	renewalsPerSecond         = 20.0     // lease renewals of an entry for each backend server that it uses
	renewalBytes              = 2 * 200.0
	changesPerRestart         = 2.0 // the instance leaves and returns
)

// Row is one quantity of the table, computed for each size of the fleet.
type Row struct {
	Role      string
	Quantity  string
	Unit      string
	Value     func(Fleet) float64
	Limit     float64 // 0 for none
	Mechanism string
}

// databasesPerEntry returns the number of databases that an entry serves.
func databasesPerEntry(f Fleet) float64 { return f.Databases * f.EntriesPerDatabase / f.Instances }

// stateChangesPerSecond returns the rate of small changes of the shared state.
func stateChangesPerSecond(f Fleet) float64 {
	return (f.Restarts*changesPerRestart + 2*f.Promotions) / secondsPerDay
}

func reportBytesPerSecond(f Fleet) float64 {
	full := ReportBase.Value + ReportDatabase.Value*databasesPerEntry(f)
	return reportsPerSecond*(ReportBase.Value+messageOverheadBytes) + full/fullReportIntervalSeconds
}

func stateBytesPerSecond(f Fleet) float64 {
	return DigestBytes.Value + stateChangesPerSecond(f)*ChangeBytes.Value + f.ConfigChanges/secondsPerDay*DocumentBytes.Value +
		f.Restarts/secondsPerDay*SnapshotBytes.Value/f.Instances
}

// Rows lists all quantities in the order of Table.
var Rows = []Row{
	{"entry", "callers", "", func(f Fleet) float64 { return f.Callers / f.Instances }, 0, "pooled buffers, two small stacks"},
	{"entry", "memory for callers", "MB", func(f Fleet) float64 { return f.Callers / f.Instances * CallerMemory.Value / 1024 }, 0, "pooled buffers"},
	{"entry", "statements a second", "", func(f Fleet) float64 { return f.Statements / f.Instances }, 0, "one pipeline a session"},
	{"entry", "processor for statements", "% of a core", func(f Fleet) float64 { return f.Statements / f.Instances * StatementTime.Value / 1e4 }, 0, "frames are relayed, not decoded"},
	{"entry", "databases served", "", databasesPerEntry, 0, "placement, 12 entries a database (not built)"},
	{"entry, control part", "memory for the shared state", "MB", func(f Fleet) float64 { return StateHeap.Value * f.Databases / TwoYears.Databases }, limitMemoryMB, "one immutable view, shared by readers"},
	{"entry, control part", "memory for databases in use", "MB", func(f Fleet) float64 { return databasesPerEntry(f) * DatabaseMemory.Value / 1024 }, limitMemoryMB, "runtime state at first use"},
	{"entry, control part", "bytes for reports", "B/s", reportBytesPerSecond, limitBytesPerSecond, "reports leave out members that are well"},
	{"entry, control part", "bytes for the shared state", "B/s", stateBytesPerSecond, limitBytesPerSecond, "push to 4 peers, digests, long changes are pulled once"},
	{"entry, control part", "bytes for reports and state", "B/s", func(f Fleet) float64 { return reportBytesPerSecond(f) + stateBytesPerSecond(f) }, limitBytesPerSecond, "both"},
	{"entry, control part", "processor for reports", "% of a core", func(f Fleet) float64 { return reportsPerSecond * ReportTime.Value / 1e4 }, limitCorePercent, "one report in 150 ms, both ends counted"},
	{"entry, control part", "bytes for the watch of databases", "B/s", func(f Fleet) float64 { return databasesPerEntry(f) * watchCallsPerSecond * watchCallBytes }, limitBytesPerSecond, "group_watch by each entry that serves the database"},
	{"entry, control part", "bytes for leases, all members in use", "B/s", func(f Fleet) float64 { return databasesPerEntry(f) * f.Members * renewalsPerSecond * renewalBytes }, limitBytesPerSecond, "leases of 200 ms, renewed four times"},
	{"control leader", "reports a second", "", func(f Fleet) float64 { return f.Instances * reportsPerSecond }, 0, "one connection an entry"},
	{"control leader", "processor for reports", "% of a core", func(f Fleet) float64 {
		return f.Instances * reportsPerSecond * (ReportTime.Value/2 + databasesPerEntry(f)*ObservationTime.Value) / 1e4
	}, 0, "batched in one loop"},
	{"control leader", "bytes for reports", "KB/s", func(f Fleet) float64 { return f.Instances * reportBytesPerSecond(f) / 1024 }, 0, "as above"},
	{"control member", "commands a day", "", func(f Fleet) float64 { return stateChangesPerSecond(f)*secondsPerDay + f.ConfigChanges }, 0, "replicated log"},
	{"control member", "bytes for the log", "B/s", func(f Fleet) float64 {
		return HeartbeatBytes.Value + (stateChangesPerSecond(f)+f.ConfigChanges/secondsPerDay)*(ProposeBytes.Value+DocumentBytes.Value)
	}, 0, "heartbeats of 60 ms, five members"},
	{"control member", "memory for state and snapshot", "MB", func(f Fleet) float64 {
		return (StateHeap.Value + 3*SnapshotBytes.Value/1e6) * f.Databases / TwoYears.Databases
	}, limitMemoryMB, "view, snapshot being taken and being sent"},
	{"control", "instances set aside", "", func(f Fleet) float64 {
		if f.Instances < 100 {
			return 0
		}
		return 5
	}, maxControlInstances, "five members of the log, on instances of their own at this size"},
	{"fleet", "time for a change to be in force", "ms", func(Fleet) float64 { return SlowestChange.Value }, limitChangeMillis, "push, digest exchange each second; measured at 256"},
}

// Table returns Rows for the given sizes as a Markdown table.
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
			fmt.Fprintf(&b, " %s |", formatQuantity(r.Value(f), r.Unit))
		}
		last := r.Value(sizes[len(sizes)-1])
		fmt.Fprintf(&b, " %s | %s | %s |\n", formatLimit(r), formatFit(r, last), r.Mechanism)
	}
	return b.String()
}

// SlopeTable returns Slopes as a Markdown table.
func SlopeTable() string {
	var b strings.Builder
	b.WriteString("| slope | value | command |\n|---|---|---|\n")
	for _, s := range Slopes {
		fmt.Fprintf(&b, "| %s | %s | `%s` |\n", s.Name, formatQuantity(s.Value, s.Unit), s.Command)
	}
	return b.String()
}

func formatQuantity(v float64, unit string) string {
	text := fmt.Sprintf("%.2f", v)
	if v >= 100 || v == float64(int64(v)) {
		text = fmt.Sprintf("%.0f", v)
	}
	return strings.TrimSpace(text + " " + unit)
}

func formatLimit(r Row) string {
	if r.Limit == 0 {
		return "–"
	}
	return formatQuantity(r.Limit, r.Unit)
}

func formatFit(r Row, v float64) string {
	switch {
	case r.Limit == 0:
		return "–"
	case v <= r.Limit:
		return "yes"
	default:
		return "**no**"
	}
}

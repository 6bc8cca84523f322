package cmds

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"tamarackcross/event"
)

// traceCommand prints the log lines about one request from the logs of several
// instances, in order of time.
type traceCommand struct {
	id     string
	files  string
	member string
}

func (*traceCommand) name() string { return "trace" }

func (c *traceCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "show the log lines about one request: trace ID --files FILE,FILE"
	sub.AddPositionalValue(&c.id, "ID", 1, false, "ID of the request")
	sub.String(&c.files, "f", "files", "log files of the instances, separated by commas")
	sub.String(&c.member, "", "member", "also show the lines about this backend server that belong to no request")
}

// logLine is one line of a log. text is its JSON part.
type logLine struct {
	time   string
	fields map[string]any
	text   []byte
}

const maxLogLineBytes = 1 << 20

func (c *traceCommand) run(stdout, stderr io.Writer) int {
	if c.id == "" || c.files == "" {
		fmt.Fprintln(stderr, "trace needs the ID of a request and --files")
		return ExitUsage
	}
	var lines []logLine
	for name := range strings.SplitSeq(c.files, ",") {
		found, err := c.readFile(name)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailed
		}
		lines = append(lines, found...)
	}
	if !slices.ContainsFunc(lines, c.matchesRequest) {
		fmt.Fprintf(stderr, "no log line about request %s; requests that neither failed nor were retried are sampled and may not be logged\n", c.id)
		return ExitFailed
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	for _, l := range lines {
		fmt.Fprintln(stdout, l.render())
	}
	return ExitOK
}

// readFile returns the lines of a file about the request, and those about the backend
// server that --member names.
func (c *traceCommand) readFile(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []logLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Bytes()); ok && (c.matchesRequest(l) || c.matchesMember(l)) {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// parseLine parses a line. It ignores any text before the JSON object, since log
// collectors add prefixes.
func parseLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{text: bytes.Clone(text[start:])}
	if err := json.Unmarshal(l.text, &l.fields); err != nil {
		return logLine{}, false
	}
	l.time, _ = l.fields["time"].(string)
	return l, true
}

func (c *traceCommand) matchesRequest(l logLine) bool { return l.fields[event.ID] == c.id }

// matchesMember reports whether a line is about the backend server that --member
// names and belongs to no request.
func (c *traceCommand) matchesMember(l logLine) bool {
	if c.member == "" || l.fields[event.ID] != nil {
		return false
	}
	return l.fields[event.Member] == c.member || l.fields[event.Primary] == c.member || l.fields["was"] == c.member
}

// render formats a line for reading: time, instance, message, and the other fields
// in order of their names.
func (l logLine) render() string {
	skip := []string{"time", "message", "level", event.Instance, event.Zone, event.ID}
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(skip, name) {
			fields = append(fields, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	return fmt.Sprintf("%s %v %v: %s", l.time, l.fields[event.Instance], l.fields["message"], strings.Join(fields, " "))
}

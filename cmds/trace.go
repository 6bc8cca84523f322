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

// traceCommand collects the lines about one request from logs.
type traceCommand struct {
	id      string
	files   string
	context string
}

func (*traceCommand) name() string { return "trace" }

func (c *traceCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "show the log lines about one request: trace ID --files FILE,FILE"
	sub.AddPositionalValue(&c.id, "ID", 1, false, "id of the request")
	sub.String(&c.files, "f", "files", "logs of the instances, separated by commas")
	sub.String(&c.context, "", "member", "also show changes of belief about this backend server")
}

// logLine is one line of a log.
type logLine struct {
	time   string
	fields map[string]any
	text   []byte
}

// maxLogLine bounds a line of a log in bytes.
const maxLogLine = 1 << 20

func (c *traceCommand) run(stdout, stderr io.Writer) int {
	if c.id == "" || c.files == "" {
		fmt.Fprintln(stderr, "trace needs the id of a request and --files")
		return ExitUsage
	}
	var lines []logLine
	for name := range strings.SplitSeq(c.files, ",") {
		found, err := c.read(name)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailed
		}
		lines = append(lines, found...)
	}
	if !slices.ContainsFunc(lines, c.about) {
		fmt.Fprintf(stderr, "no line about request %s; lines of requests without trouble are sampled\n", c.id)
		return ExitFailed
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	for _, l := range lines {
		fmt.Fprintln(stdout, l.render())
	}
	return ExitOK
}

// read returns the lines of a file that belong to the request.
func (c *traceCommand) read(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []logLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if l, ok := parseLine(s.Bytes()); ok && (c.about(l) || c.belief(l)) {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// parseLine reads a line. What stands before the JSON, as collectors of logs add
// it, is passed over.
func parseLine(text []byte) (logLine, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return logLine{}, false
	}
	l := logLine{text: bytes.Clone(text[at:])}
	if err := json.Unmarshal(l.text, &l.fields); err != nil {
		return logLine{}, false
	}
	l.time, _ = l.fields["time"].(string)
	return l, true
}

func (c *traceCommand) about(l logLine) bool { return l.fields[event.ID] == c.id }

// belief reports a line about a backend server and no request.
func (c *traceCommand) belief(l logLine) bool {
	if c.context == "" || l.fields[event.ID] != nil {
		return false
	}
	return l.fields[event.Member] == c.context || l.fields[event.Primary] == c.context || l.fields["was"] == c.context
}

// render shows a line for a person: when, where, what, and the inputs in order of
// their names.
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

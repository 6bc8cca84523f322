package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"tamarackcross/config"
	"tamarackcross/platform"
)

// configCommand checks configuration documents of the hosting platform before they are sent.
type configCommand struct {
	check   *flaggy.Subcommand
	file    string
	against string
	zones   int
	json    bool
}

func (*configCommand) name() string { return "config" }

const (
	defaultZones = 3
	maxZones     = 1000
)

func (c *configCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "check a configuration of the hosting platform before it is sent: config check FILE"
	c.zones = defaultZones
	c.check = flaggy.NewSubcommand("check")
	c.check.Description = "print errors, entries that can never match, limits that contradict each other, and what differs from the version in force"
	c.check.AddPositionalValue(&c.file, "FILE", 1, false, "configuration document")
	c.check.String(&c.against, "", "against", "version in force to compare with: a file, or the address host:port of a control instance")
	c.check.Int(&c.zones, "", "zones", "number of availability zones")
	c.check.Bool(&c.json, "", "json", "print one JSON object")
	sub.AttachSubcommand(c.check, 1)
}

// configReport is the result of a check.
type configReport struct {
	Version  uint64           `json:"version"`
	Errors   []config.Finding `json:"errors"`
	Warnings []config.Finding `json:"warnings"`
	InForce  uint64           `json:"in_force,omitempty"` // version that Changes refers to
	Changes  []config.Finding `json:"changes,omitempty"`
}

func (c *configCommand) run(stdout, stderr io.Writer) int {
	if !c.check.Used || c.file == "" || c.zones < 1 || c.zones > maxZones {
		fmt.Fprintf(stderr, "usage: config check FILE [--against FILE|ADDRESS] [--zones 1 to %d] [--json]\n", maxZones)
		return ExitUsage
	}
	body, err := os.ReadFile(c.file)
	if err != nil {
		fmt.Fprintf(stderr, "the configuration cannot be read: %v\n", err)
		return ExitUsage
	}
	report, draft := checkConfig(body, c.zones)
	if c.against != "" {
		inForce, code := c.inForce(stderr)
		if inForce == nil {
			return code
		}
		report.compare(inForce, draft)
	}
	if err := report.write(stdout, c.json); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if len(report.Errors) > 0 {
		return ExitFailed
	}
	return ExitOK
}

// checkConfig checks a configuration document. The draft is nil if it cannot be decoded.
func checkConfig(body []byte, zones int) (*configReport, *config.Draft) {
	r := &configReport{Errors: []config.Finding{}, Warnings: []config.Finding{}}
	draft, err := platform.DecodeDraft(body)
	if err != nil {
		r.Errors = append(r.Errors, config.Finding{Text: err.Error()})
		return r, nil
	}
	r.Version = draft.Version
	r.Errors = append(r.Errors, draft.Errors()...)
	for _, path := range platform.UnknownFields(body) {
		r.Warnings = append(r.Warnings, config.Finding{Place: fmt.Sprintf("field %q", path), Text: "is unknown and has no effect"})
	}
	r.Warnings = append(r.Warnings, draft.Warnings(zones)...)
	return r, draft
}

// configFetchTimeout bounds the call to a control instance.
const configFetchTimeout = 5 * time.Second

// inForce returns the version to compare with. If it is nil, code is the exit code.
func (c *configCommand) inForce(stderr io.Writer) (draft *config.Draft, code int) {
	var body []byte
	if _, err := os.Stat(c.against); err == nil {
		if body, err = os.ReadFile(c.against); err != nil {
			fmt.Fprintf(stderr, "the version in force cannot be read: %v\n", err)
			return nil, ExitUsage
		}
	} else {
		ctx, stop := context.WithTimeout(context.Background(), configFetchTimeout)
		defer stop()
		if body, err = platform.FetchConfig(ctx, c.against); err != nil {
			fmt.Fprintf(stderr, "%s is no file, and no control instance there returned the version in force: %v\n", c.against, err)
			return nil, ExitUnreachable
		}
	}
	draft, err := platform.DecodeDraft(body)
	if err != nil {
		fmt.Fprintf(stderr, "the version in force: %v\n", err)
		return nil, ExitUsage
	}
	return draft, ExitOK
}

// compare adds what the draft changes of the version in force.
func (r *configReport) compare(inForce, draft *config.Draft) {
	r.InForce = inForce.Version
	if draft == nil {
		return
	}
	if draft.Version <= inForce.Version {
		r.Warnings = append(r.Warnings, config.Finding{Text: fmt.Sprintf("version %d is not higher than version %d in force, and changes nothing", draft.Version, inForce.Version)})
	}
	r.Changes = config.Diff(inForce, draft)
}

// write prints the report.
func (r *configReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	var err error
	print := func(kind string, findings []config.Finding) {
		for _, f := range findings {
			if err == nil {
				_, err = fmt.Fprintf(w, "%s: %s\n", kind, f)
			}
		}
	}
	print("error", r.Errors)
	print("warning", r.Warnings)
	print("change", r.Changes)
	if err == nil {
		_, err = fmt.Fprintf(w, "version %d: %d errors, %d warnings, %d changes\n", r.Version, len(r.Errors), len(r.Warnings), len(r.Changes))
	}
	return err
}

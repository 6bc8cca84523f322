package cmds

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"tamarackcross/admin"
	"tamarackcross/flags"
	"tamarackcross/fleet"
)

// fleetCommand shows and changes the configuration of the fleet.
type fleetCommand struct {
	set         flags.Set
	address     string
	author      string
	id          string
	base        string
	file        string
	database    string
	caller      string
	fingerprint string
	reason      string
	setting     string
	value       string
	remove      bool
	actions     []*fleetAction
}

// fleetAction is a subcommand of fleet. run executes it.
type fleetAction struct {
	sub *flaggy.Subcommand
	run func(stdout io.Writer) error
}

func (*fleetCommand) name() string { return "fleet" }

func (c *fleetCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "show and change the configuration of the fleet"
	c.set.Address(&c.address, "admin", "127.0.0.1:7480", "HTTP address of any instance")
	c.set.String(&c.author, "author", os.Getenv("USER"), "who makes the change")
	c.set.String(&c.id, "id", "", "identifier of the change; repeat it to send the same change again")
	c.set.String(&c.base, "base", "", "version that the change replaces; the default is the version in force")
	c.addAction(sub, "show", "print the document in force", c.show)
	apply := c.addAction(sub, "apply", "replace the document or set one default", c.apply)
	apply.String(&c.file, "", "file", "YAML document; - for standard input")
	apply.String(&c.setting, "", "setting", "name of a default to set, instead of --file")
	apply.String(&c.value, "", "value", "value of the default")
	except := c.addAction(sub, "except", "add, replace or remove an exception", c.except)
	except.String(&c.database, "", "database", "database that the exception applies to")
	except.String(&c.caller, "", "caller", "caller that the exception applies to")
	except.String(&c.fingerprint, "", "fingerprint", "statement fingerprint, in hexadecimal, that the exception applies to")
	except.String(&c.setting, "", "setting", "name of the setting")
	except.String(&c.value, "", "value", "value of the setting")
	except.String(&c.reason, "", "reason", "why the exception is needed (required)")
	except.Bool(&c.remove, "", "remove", "remove the exception")
	c.addAction(sub, "status", "print the instances with their versions, and the databases with their members", c.status)
}

func (c *fleetCommand) addAction(parent *flaggy.Subcommand, name, help string, run func(io.Writer) error) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = help
	c.set.Register(sub)
	parent.AttachSubcommand(sub, 1)
	c.actions = append(c.actions, &fleetAction{sub: sub, run: run})
	return sub
}

func (c *fleetCommand) run(stdout, stderr io.Writer) int {
	if err := c.set.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	for _, a := range c.actions {
		if !a.sub.Used {
			continue
		}
		if err := a.run(stdout); err != nil {
			fmt.Fprintln(stderr, eris.ToString(err, false))
			return ExitFailed
		}
		return ExitOK
	}
	fmt.Fprintln(stderr, "fleet needs one of the subcommands show, apply, except, status")
	return ExitUsage
}

// fleetTimeout is the time limit of one request to an instance.
const fleetTimeout = 10 * time.Second

// call sends a request to the instance, decodes the JSON answer and returns the
// HTTP status.
func (c *fleetCommand) call(method, path string, body, into any) (int, error) {
	ctx, stop := context.WithTimeout(context.Background(), fleetTimeout)
	defer stop()
	var buf bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&buf).Encode(body); err != nil {
			return 0, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, &buf)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(into)
}

func (c *fleetCommand) fetchFleet() (admin.Fleet, error) {
	var f admin.Fleet
	code, err := c.call(http.MethodGet, "/v1/fleet", nil, &f)
	if err == nil && code != http.StatusOK {
		err = eris.Errorf("instance answered GET /v1/fleet with status %d", code)
	}
	return f, err
}

func (c *fleetCommand) show(stdout io.Writer) error {
	f, err := c.fetchFleet()
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "# version %d, change %q by %q, seen at %s\n%s", f.Version, f.ID, f.Author, f.Instance, f.Document)
	return nil
}

func (c *fleetCommand) apply(stdout io.Writer) error {
	f, err := c.fetchFleet()
	if err != nil {
		return err
	}
	if c.setting != "" {
		doc, err := fleet.Parse([]byte(f.Document))
		if err != nil {
			return err
		}
		if doc, err = doc.WithDefault(c.setting, c.value); err != nil {
			return err
		}
		return c.submit(stdout, f.Version, doc)
	}
	text, err := c.readDocument()
	if err != nil {
		return err
	}
	doc, err := fleet.Parse(text)
	if err != nil {
		return err
	}
	return c.submit(stdout, f.Version, doc)
}

func (c *fleetCommand) readDocument() ([]byte, error) {
	switch c.file {
	case "":
		return nil, eris.New("--file or --setting is required")
	case "-":
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(c.file)
}

func (c *fleetCommand) except(stdout io.Writer) error {
	f, err := c.fetchFleet()
	if err != nil {
		return err
	}
	doc, err := fleet.Parse([]byte(f.Document))
	if err != nil {
		return err
	}
	scope, err := c.scope()
	if err != nil {
		return err
	}
	if c.remove {
		if doc, err = doc.WithoutException(scope); err != nil {
			return err
		}
		return c.submit(stdout, f.Version, doc)
	}
	var set fleet.Overrides
	if set, err = set.With(c.setting, c.value); err != nil {
		return err
	}
	doc, err = doc.WithException(fleet.Exception{Scope: scope, Set: set, Reason: c.reason, Author: c.author})
	if err != nil {
		return err
	}
	return c.submit(stdout, f.Version, doc)
}

func (c *fleetCommand) scope() (fleet.Scope, error) {
	s := fleet.Scope{Database: c.database, Caller: c.caller}
	if c.fingerprint == "" {
		return s, nil
	}
	n, err := strconv.ParseUint(c.fingerprint, 16, 64)
	if err != nil {
		return s, eris.Errorf("invalid value %q for --fingerprint: want a hexadecimal number", c.fingerprint)
	}
	s.Fingerprint = n
	return s, nil
}

// submit sends a change of version and prints the result. The identifier and the
// base version are printed first, so that the change can be sent again if its
// outcome remains unknown.
func (c *fleetCommand) submit(stdout io.Writer, version uint64, doc *fleet.Document) error {
	change := admin.Change{ID: c.id, Base: version, Author: c.author, Document: string(doc.YAML())}
	if c.base != "" {
		base, err := strconv.ParseUint(c.base, 10, 64)
		if err != nil {
			return eris.Errorf("invalid value %q for --base: want a number", c.base)
		}
		change.Base = base
	}
	if change.ID == "" {
		change.ID = newChangeID()
	}
	fmt.Fprintf(stdout, "change %s on version %d\n", change.ID, change.Base)
	var r admin.ChangeResult
	if _, err := c.call(http.MethodPost, "/v1/fleet", change, &r); err != nil {
		return eris.Wrapf(err, "the outcome of the change is unknown; send it again with --id %s --base %d", change.ID, change.Base)
	}
	if !r.Accepted {
		if r.WinnerID != "" {
			return eris.Errorf("%s: version %d was made by change %s of %s", r.Error, r.WinnerVersion, r.WinnerID, r.WinnerAuthor)
		}
		return eris.New(r.Error)
	}
	fmt.Fprintf(stdout, "accepted as version %d\n", r.Version)
	return nil
}

func newChangeID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (c *fleetCommand) status(stdout io.Writer) error {
	var st admin.Status
	code, err := c.call(http.MethodGet, "/v1/status", nil, &st)
	if err == nil && code != http.StatusOK {
		err = eris.Errorf("instance answered GET /v1/status with status %d", code)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "version %d, change %q by %q\n\n", st.Fleet.Version, st.Fleet.ID, st.Fleet.Author)
	w := tabwriter.NewWriter(stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tZONE\tROLES\tREACHABLE\tVERSION\tINDEX")
	for _, i := range st.Instances {
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%d\t%d\n", i.Name, i.Zone, i.Roles, i.Reachable, i.Version, i.Index)
	}
	fmt.Fprintln(w, "\nDATABASE\tTERM\tMEMBER\tZONE\tADDRESS\tSTATE\t")
	for _, d := range st.Databases {
		for _, m := range d.Members {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", d.Name, d.Term, m.Name, m.Zone, m.Address, memberState(m))
		}
	}
	return w.Flush()
}

func memberState(m admin.MemberInfo) string {
	switch {
	case m.Gone:
		return "gone"
	case m.Leaving:
		return "leaving"
	case m.Primary:
		return "primary"
	case m.Voter:
		return "replica"
	default:
		return "catching up"
	}
}

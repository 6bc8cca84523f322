package cmds

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"tamarackcross/authn"
	"tamarackcross/flags"
)

// verifierCommand prints a line with the name and the SCRAM verifier of a caller,
// to be added to the callers file.
type verifierCommand struct {
	set  flags.Set
	user string
}

func (*verifierCommand) name() string { return "verifier" }

func (c *verifierCommand) register(sub *flaggy.Subcommand) {
	sub.Description = "read a password from standard input and print a line for the callers file"
	c.set.Required(&c.user, "user", "name of the caller")
	c.set.Register(sub)
}

func (c *verifierCommand) run(stdout, stderr io.Writer) int {
	if err := c.set.Resolve(os.Getenv); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	line, err := c.line(os.Stdin)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	fmt.Fprintln(stdout, line)
	return ExitOK
}

// line reads the password up to the first line break and returns the line for the
// callers file.
func (c *verifierCommand) line(r io.Reader) (string, error) {
	password, err := bufio.NewReader(r).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	return authn.CallersFileLine(c.user, strings.TrimRight(password, "\r\n"))
}

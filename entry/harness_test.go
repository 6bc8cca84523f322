package entry_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/entry"
	"tamarackcross/token"
)

const (
	quietPeriod = 150 * time.Millisecond // silence after which an answer without a known end is taken as complete
	testTimeout = 10 * time.Second       // for one answer
)

var tokenKey = []byte("0123456789abcdef0123456789abcdef")

// addEntry starts another entry of the site.
func (s *site) addEntry(t testing.TB, opts ...entry.Option) *entry.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := entry.New(s.dir, token.New(tokenKey), opts...)
	done := make(chan error, 1)
	go func() { done <- e.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		e.Close()
		<-done
	})
	s.entries, s.addrs = append(s.entries, e), append(s.addrs, l.Addr().String())
	s.dir.SetEntries(len(s.entries))
	return e
}

// rawClient is a client that sends and receives single messages of the protocol.
type rawClient struct {
	nc net.Conn
	fe *pgproto3.Frontend
}

func dialRaw(t testing.TB, addr string) *rawClient {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	return &rawClient{nc: nc, fe: pgproto3.NewFrontend(nc, nc)}
}

func (c *rawClient) start(params map[string]string) string {
	c.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
	_ = c.fe.Flush()
	out := c.read(testTimeout)
	if i := strings.Index(out, "ERROR"); i >= 0 {
		return out[i:]
	}
	return out[strings.LastIndex(out, "ReadyForQuery"):]
}

// read returns the messages up to ReadyForQuery, the end of the connection or a pause
// of limit.
func (c *rawClient) read(limit time.Duration) string {
	var b strings.Builder
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(limit))
		m, err := c.fe.Receive()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return b.String() + "(waiting)\n"
		}
		if err != nil {
			return b.String() + "(closed)\n"
		}
		b.WriteString(formatMessage(m))
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return b.String() + "\n"
		}
		b.WriteString(", ")
	}
}

// formatMessage formats a message without the parts that differ between runs.
func formatMessage(m pgproto3.BackendMessage) string {
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		return fmt.Sprintf("ERROR %s %s: %s (%s)", m.Severity, m.Code, m.Message, m.Detail)
	case *pgproto3.NoticeResponse:
		return "NOTICE " + m.Message
	case *pgproto3.DataRow:
		return fmt.Sprintf("DataRow %q", m.Values)
	case *pgproto3.CommandComplete:
		return "CommandComplete " + string(m.CommandTag)
	case *pgproto3.ReadyForQuery:
		return "ReadyForQuery " + string(m.TxStatus)
	case *pgproto3.ParameterStatus:
		return "ParameterStatus " + m.Name
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
}

// parseMessage parses one line of a script as a message.
func parseMessage(t testing.TB, line string) pgproto3.FrontendMessage {
	verb, rest, _ := strings.Cut(line, " ")
	name, text, _ := strings.Cut(rest, " ")
	unnamed := func(s string) string { return strings.Trim(s, "-") }
	switch verb {
	case "query":
		return &pgproto3.Query{String: rest}
	case "parse":
		return &pgproto3.Parse{Name: unnamed(name), Query: text}
	case "bind":
		fields := strings.Fields(text)
		b := &pgproto3.Bind{DestinationPortal: unnamed(name), PreparedStatement: unnamed(fields[0])}
		for _, v := range fields[1:] {
			b.Parameters = append(b.Parameters, []byte(v))
		}
		return b
	case "describe":
		return &pgproto3.Describe{ObjectType: name[0], Name: unnamed(text)}
	case "close":
		return &pgproto3.Close{ObjectType: name[0], Name: unnamed(text)}
	case "execute":
		n, _ := strconv.ParseUint(text, 10, 32)
		return &pgproto3.Execute{Portal: unnamed(name), MaxRows: uint32(n)}
	case "sync":
		return &pgproto3.Sync{}
	case "flush":
		return &pgproto3.Flush{}
	case "copydata":
		return &pgproto3.CopyData{Data: []byte(rest)}
	}
	t.Fatalf("unknown line %q", line)
	return nil
}

// runScript runs the commands of a file against a site of its own. The argument s
// names the session of a command. The input of connect is one startup parameter per
// line, that of send one message per line, and that of raw bytes in hexadecimal.
func runScript(t *testing.T, path string) {
	s := startSite(t)
	sessions := make(map[string]*rawClient)
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		name := "s"
		if d.HasArg("s") {
			d.ScanArgs(t, "s", &name)
		}
		switch d.Cmd {
		case "connect":
			c := dialRaw(t, s.addrs[0])
			sessions[name] = c
			params := map[string]string{"user": "app", "database": "app"}
			for line := range strings.Lines(d.Input) {
				k, v, _ := strings.Cut(strings.TrimSpace(line), "=")
				params[k] = strings.ReplaceAll(v, "TOKEN", strings.Repeat("A", 5000))
			}
			return c.start(params)
		case "send":
			c := sessions[name]
			ends := 0
			for _, line := range strings.Split(d.Input, "\n") {
				m := parseMessage(t, line)
				switch m.(type) {
				case *pgproto3.Query, *pgproto3.Sync:
					ends++
				}
				c.fe.Send(m)
			}
			_ = c.fe.Flush()
			var out string
			for range ends {
				out += c.read(testTimeout)
			}
			if ends == 0 {
				out = c.read(quietPeriod)
			}
			return out
		case "raw": // on a new connection, or in the named session
			c := sessions[name]
			if !d.HasArg("s") {
				c = dialRaw(t, s.addrs[0])
			}
			b, err := hex.DecodeString(strings.Join(strings.Fields(d.Input), ""))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = c.nc.Write(b)
			return c.read(quietPeriod)
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}

// TestScripts guards against changes of the protocol as callers see it. Each file has
// messages and their exact answers.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/wire", runScript)
}

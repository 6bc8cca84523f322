// Package authn authenticates callers by SCRAM-SHA-256 and loads the TLS
// certificate that is presented to them.
package authn

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/base64"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"tamarackcross/entry"
)

const (
	// verifierPrefix is the start of a verifier in the format that PostgreSQL stores.
	verifierPrefix = "SCRAM-SHA-256$"
	// Iterations is the SCRAM iteration count of new verifiers, which is the
	// default of PostgreSQL.
	Iterations = 4096
	saltBytes  = 16
)

// Callers holds the SCRAM credentials of the callers that may log in. It
// implements entry.Authenticator.
type Callers struct {
	byName         map[string]scram.StoredCredentials
	mockSecret     []byte // key from which the credentials of unknown names are derived
	mockIterations int    // iteration count in the credentials of unknown names
}

// LoadCallers reads a callers file. Each line holds one caller: the name, a colon and
// the SCRAM verifier in the format that PostgreSQL stores. Empty lines and lines
// that start with # are ignored.
func LoadCallers(path string) (*Callers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read callers file")
	}
	return ParseCallers(data)
}

// ParseCallers parses the content of a callers file.
func ParseCallers(data []byte) (*Callers, error) {
	// The secret is derived from the file, so that all instances with the same file
	// send the same salt for an unknown name, as they do for a known name.
	secret := sha256.Sum256(data)
	c := &Callers{byName: make(map[string]scram.StoredCredentials), mockSecret: secret[:], mockIterations: Iterations}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, verifier, ok := strings.Cut(line, ":")
		if !ok || name == "" {
			return nil, eris.Errorf("callers file line %d: want name:verifier", n)
		}
		cred, err := parseVerifier(verifier)
		if err != nil {
			return nil, eris.Wrapf(err, "callers file line %d", n)
		}
		if _, ok := c.byName[name]; ok {
			return nil, eris.Errorf("callers file line %d: caller %q is listed more than once", n, name)
		}
		if len(c.byName) == 0 {
			c.mockIterations = cred.Iters
		}
		c.byName[name] = cred
	}
	return c, lines.Err()
}

// Start starts the SCRAM exchange with a caller. For an unknown name the exchange
// runs with mock credentials and fails at its end like one with a wrong password,
// so that it does not reveal which names exist.
func (c *Callers) Start(user string) (entry.Conversation, error) {
	cred, ok := c.byName[user]
	if !ok {
		cred = c.mockCredentials(user)
	}
	// In the PostgreSQL protocol the startup message names the user, so the name in
	// the SCRAM messages is ignored.
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return cred, nil })
	if err != nil {
		return nil, err
	}
	return server.NewConversation(), nil
}

// CallersFileLine returns a line for the callers file with a new verifier of the password.
func CallersFileLine(name, password string) (string, error) {
	if name == "" || strings.ContainsAny(name, ":\r\n") || strings.HasPrefix(name, "#") || strings.TrimSpace(name) != name {
		return "", eris.Errorf("invalid caller name %q: want text without colon, line break and outer spaces that does not start with #", name)
	}
	if password == "" {
		return "", eris.New("the password is empty")
	}
	verifier, err := Verifier(password)
	if err != nil {
		return "", eris.Wrap(err, "password")
	}
	return name + ":" + verifier, nil
}

// Verifier returns the SCRAM verifier of a password with a random salt.
func Verifier(password string) (string, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", err
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", err
	}
	cred, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: Iterations})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, Iterations,
		base64.StdEncoding.EncodeToString(salt),
		base64.StdEncoding.EncodeToString(cred.StoredKey),
		base64.StdEncoding.EncodeToString(cred.ServerKey)), nil
}

// parseVerifier parses "SCRAM-SHA-256$iterations:salt$stored key:server key".
func parseVerifier(text string) (scram.StoredCredentials, error) {
	malformed := eris.New("malformed SCRAM verifier")
	rest, ok := strings.CutPrefix(text, verifierPrefix)
	if !ok {
		return scram.StoredCredentials{}, malformed
	}
	factors, keys, ok := strings.Cut(rest, "$")
	if !ok {
		return scram.StoredCredentials{}, malformed
	}
	iterText, saltText, ok1 := strings.Cut(factors, ":")
	storedText, serverText, ok2 := strings.Cut(keys, ":")
	iters, err := strconv.Atoi(iterText)
	if !ok1 || !ok2 || err != nil || iters < 1 {
		return scram.StoredCredentials{}, malformed
	}
	var raw [3][]byte
	for i, field := range []string{saltText, storedText, serverText} {
		if raw[i], err = base64.StdEncoding.DecodeString(field); err != nil {
			return scram.StoredCredentials{}, malformed
		}
	}
	if len(raw[0]) == 0 || len(raw[1]) != sha256.Size || len(raw[2]) != sha256.Size {
		return scram.StoredCredentials{}, malformed
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(raw[0]), Iters: iters},
		StoredKey:  raw[1],
		ServerKey:  raw[2],
	}, nil
}

// mockCredentials returns credentials for an unknown name. Like real credentials
// they are the same for each login and differ between names; no password matches
// them.
func (c *Callers) mockCredentials(user string) scram.StoredCredentials {
	derive := func(purpose string) []byte {
		h := hmac.New(sha256.New, c.mockSecret)
		_, _ = h.Write([]byte(purpose + user))
		return h.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(derive("salt ")[:saltBytes]), Iters: c.mockIterations},
		StoredKey:  derive("stored "),
		ServerKey:  derive("server "),
	}
}

// LoadTLSConfig loads a certificate and its key and returns the TLS configuration for
// connections of callers.
func LoadTLSConfig(certFile, keyFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load TLS certificate and key")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

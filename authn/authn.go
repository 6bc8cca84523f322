// Package authn checks callers by SCRAM-SHA-256 and reads the TLS settings.
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
	// verifierPrefix starts a verifier, in the form that PostgreSQL stores.
	verifierPrefix = "SCRAM-SHA-256$"
	// Iterations is the work factor of new verifiers, as in PostgreSQL.
	Iterations = 4096
	saltLen    = 16 // bytes
)

// Callers is the list of callers that may log in. It implements
// entry.Authenticator.
type Callers struct {
	byName map[string]scram.StoredCredentials
	secret []byte // key of the salts of unknown names
	iters  int    // iterations that unknown names are told
}

// Load reads a file with one caller a line: the name, a colon and the SCRAM
// verifier as PostgreSQL stores it. Empty lines and lines that start with # are
// skipped.
func Load(path string) (*Callers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "callers file")
	}
	return Parse(data)
}

// Parse reads the content of a callers file.
func Parse(data []byte) (*Callers, error) {
	// The secret follows from the file, so that all instances that read the same
	// file give an unknown name the same salt, as they do for a known one.
	secret := sha256.Sum256(data)
	c := &Callers{byName: make(map[string]scram.StoredCredentials), secret: secret[:], iters: Iterations}
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
			return nil, eris.Errorf("callers file line %d: caller %q is there already", n, name)
		}
		if len(c.byName) == 0 {
			c.iters = cred.Iters
		}
		c.byName[name] = cred
	}
	return c, lines.Err()
}

// Start begins the exchange with a caller. An unknown name goes through the
// same exchange and fails at its end, so that names cannot be found out.
func (c *Callers) Start(user string) (entry.Conversation, error) {
	cred, ok := c.byName[user]
	if !ok {
		cred = c.unusable(user)
	}
	// The PostgreSQL protocol names the user in the startup message; the name
	// inside the SCRAM messages is ignored.
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return cred, nil })
	if err != nil {
		return nil, err
	}
	return server.NewConversation(), nil
}

// Line returns the line of a caller in a callers file, with a random salt.
func Line(name, password string) (string, error) {
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

// Verifier returns the verifier of a password with a random salt.
func Verifier(password string) (string, error) {
	salt := make([]byte, saltLen)
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

// parseVerifier reads "SCRAM-SHA-256$iterations:salt$stored key:server key".
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

// unusable returns credentials of an unknown name. They are the same at each
// attempt and differ between names, as real ones do, and no password matches.
func (c *Callers) unusable(user string) scram.StoredCredentials {
	derive := func(purpose string) []byte {
		h := hmac.New(sha256.New, c.secret)
		_, _ = h.Write([]byte(purpose + user))
		return h.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(derive("salt ")[:saltLen]), Iters: c.iters},
		StoredKey:  derive("stored "),
		ServerKey:  derive("server "),
	}
}

// TLS reads a certificate and its key for the callers' side.
func TLS(certFile, keyFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrap(err, "TLS certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

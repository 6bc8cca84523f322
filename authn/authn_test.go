package authn_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/authn"
	"tamarackcross/entry"
	"tamarackcross/token"
)

// TestParse checks which callers files and which new lines are accepted, and the
// errors for the others. An invalid line that is accepted would lock its caller
// out without a message.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/callers", func(t *testing.T, d *datadriven.TestData) string {
		var err error
		if d.Cmd == "line" {
			name, password, _ := strings.Cut(d.Input, "/")
			_, err = authn.CallersFileLine(name, password)
		} else {
			_, err = authn.ParseCallers([]byte(d.Input))
		}
		if err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key and
// returns the paths of the two files.
func writeCertificate(t *testing.T) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, b []byte) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", raw)
}

// startEntry starts an entry without backend servers that requires TLS and a
// password.
func startEntry(t *testing.T, callers *authn.Callers) (addr string, roots *x509.CertPool) {
	t.Helper()
	certFile, keyFile := writeCertificate(t)
	conf, err := authn.LoadTLSConfig(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dir := entry.NewStaticDirectory(entry.Group{Database: "app"})
	e := entry.New(dir, token.New(make([]byte, 32)), entry.WithTLS(conf), entry.WithAuthenticator(callers))
	done := make(chan error, 1)
	go func() { done <- e.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		e.Close()
		<-done
	})
	roots = x509.NewCertPool()
	data, err := os.ReadFile(certFile)
	if err != nil {
		t.Fatal(err)
	}
	roots.AppendCertsFromPEM(data)
	return l.Addr().String(), roots
}

// TestLogin guards against a login without the right password or without TLS,
// and against errors that differ between a wrong password and an unknown caller
// or database, which would reveal their names to anybody who connects.
func TestLogin(t *testing.T) {
	line, err := authn.CallersFileLine("shop", "s3cret")
	if err != nil {
		t.Fatal(err)
	}
	callers, err := authn.ParseCallers([]byte("# callers\n\n" + line + "\n"))
	if err != nil {
		t.Fatal(err)
	}
	addr, roots := startEntry(t, callers)
	for _, tt := range []struct {
		name, user, password, database string
		withoutTLS                     bool
		want                           string
	}{
		{"right password", "shop", "s3cret", "app", false, "ok"},
		{"wrong password", "shop", "guess", "app", false, `28P01 password authentication failed for user "shop"`},
		{"unknown caller", "nobody", "guess", "app", false, `28P01 password authentication failed for user "nobody"`},
		{"wrong password, unknown database", "shop", "guess", "none", false, `28P01 password authentication failed for user "shop"`},
		{"right password, unknown database", "shop", "s3cret", "none", false, `3D000 database "none" is not known`},
		{"without TLS", "shop", "s3cret", "app", true, "28000 this instance requires TLS"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
			defer stop()
			u := url.URL{Scheme: "postgres", User: url.UserPassword(tt.user, tt.password), Host: addr, Path: tt.database, RawQuery: "sslmode=disable"}
			cfg, err := pgx.ParseConfig(u.String())
			if err != nil {
				t.Fatal(err)
			}
			if !tt.withoutTLS {
				cfg.TLSConfig = &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}
			}
			c, err := pgx.ConnectConfig(ctx, cfg)
			got := "ok"
			var pe *pgconn.PgError
			switch {
			case errors.As(err, &pe):
				got = pe.Code + " " + pe.Message
			case err != nil:
				got = err.Error()
			default:
				_ = c.Close(ctx)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	nc, err := tls.Dial("tcp", addr, nil)
	if err == nil {
		_ = nc.Close()
		t.Error("a connection without the TLS negotiation of the protocol was accepted")
	}
}

// TestServerFirst guards against a salt or iteration count in the server-first
// message that differs between logins with the same unknown name, or that looks
// unlike those of known names: either would reveal which names exist.
func TestServerFirst(t *testing.T) {
	line, err := authn.CallersFileLine("shop", "s3cret")
	if err != nil {
		t.Fatal(err)
	}
	// saltAndIterations parses the file anew, as another instance does.
	saltAndIterations := func(user string) string {
		callers, err := authn.ParseCallers([]byte(line))
		if err != nil {
			t.Fatal(err)
		}
		conv, err := callers.Start(user)
		if err != nil {
			t.Fatal(err)
		}
		reply, err := conv.Step("n,,n=,r=clientnonce")
		if err != nil {
			t.Fatal(err)
		}
		_, rest, _ := strings.Cut(reply, ",s=") // the nonce differs each time
		return rest
	}
	if diff := cmp.Diff(saltAndIterations("nobody"), saltAndIterations("nobody")); diff != "" {
		t.Errorf("two logins with the same unknown name get different salts:\n%s", diff)
	}
	if saltAndIterations("nobody") == saltAndIterations("noone") {
		t.Error("two unknown names have the same salt")
	}
	if diff := cmp.Diff(len(saltAndIterations("shop")), len(saltAndIterations("nobody"))); diff != "" {
		t.Error(diff)
	}
}

// TestUnauthenticatedMessage guards against a caller that makes the entry allocate
// memory for a large message before it is authenticated.
func TestUnauthenticatedMessage(t *testing.T) {
	callers, err := authn.ParseCallers(nil)
	if err != nil {
		t.Fatal(err)
	}
	addr, roots := startEntry(t, callers)
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	ssl, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = nc.Write(ssl)
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	tc := tls.Client(nc, &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"})
	fe := pgproto3.NewFrontend(tc, tc)
	fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x"}})
	_ = fe.Flush()
	if _, err := fe.Receive(); err != nil {
		t.Fatal(err)
	}
	_, _ = tc.Write([]byte{'p', 0, 1, 0, 0})
	if m, err := fe.Receive(); err == nil {
		t.Errorf("the entry answered a too large message before authentication with %T", m)
	}
}

package meas

import (
	"strings"
	"testing"
	"time"

	"tamarackcross/emul"
	"tamarackcross/site"
)

// TestBaselineBesideEntries guards against a baseline that gets no connections because the
// entries of its site, which run without load, hold some.
func TestBaselineBesideEntries(t *testing.T) {
	s, err := startSite(t.Context(), tiny, Baseline, tinyOptions)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range 4 {
		c, err := openConn(t.Context(), dialTCP, s.Addr(0), "app")
		if err != nil {
			t.Fatal(err)
		}
		defer c.nc.Close()
		if _, err := c.query("BEGIN; SELECT v FROM t WHERE k = 'x'"); err != nil {
			t.Fatal(err)
		}
	}
	b, err := startBaseline(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	b.close()
}

// TestStartupError guards against the reason for which a server refuses a connection being
// reported as the end of the connection.
func TestStartupError(t *testing.T) {
	s, err := site.Start(t.Context(), tiny.Plan, site.WithMember(emul.WithConnectTime(time.Millisecond)))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	_, err = openConn(t.Context(), dialTCP, s.Servers("app")[0].Addr(), "other")
	if err == nil || !strings.Contains(err.Error(), "3D000") {
		t.Errorf("connection to an unknown database gave error %v", err)
	}
}

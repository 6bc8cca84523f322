package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// largeConfig returns a configuration with 10,000 routes and 1,000 customers.
func largeConfig(tb testing.TB, version int) []byte {
	var routes, customers []map[string]any
	for i := range 10_000 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r", i), "db_name": fmt.Sprint("d", i), "path_prefix": "/", "type": "session", "timeout_ms": 800, "goal_ms": 250,
			"backend": "s", "max_stale_ms": 2500 + version,
		})
	}
	for i := range 1000 {
		customers = append(customers, map[string]any{"name": fmt.Sprint("c", i), "api_keys": []string{fmt.Sprint("k", i)}, "rate_per_s": 5, "burst": 5})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "backends": []map[string]any{{"name": "s", "max_conns": 56}}, "tenants": customers,
	})
	if err != nil {
		tb.Fatal(err)
	}
	return body
}

// BenchmarkConfigCheck measures the check of a large configuration against another version of it.
func BenchmarkConfigCheck(b *testing.B) {
	body, inForce := largeConfig(b, 2), largeConfig(b, 1)
	for b.Loop() {
		r, draft := checkConfig(body, defaultZones)
		_, old := checkConfig(inForce, defaultZones)
		r.compare(old, draft)
		if err := r.write(io.Discard, false); err != nil {
			b.Fatal(err)
		}
		if len(r.Errors) > 0 || len(r.Changes) != 10_000 {
			b.Fatalf("%d errors, %d changes", len(r.Errors), len(r.Changes))
		}
	}
}

// TestConfigCheckAgainstControl guards against a comparison with anything but the version that a
// control instance reports.
func TestConfigCheckAgainstControl(t *testing.T) {
	answer := `{"version":4,"routes":[],"backends":[{"name":"s","max_conns":56}]}`
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/api/config/get" || answer == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, answer)
	}))
	defer control.Close()
	file := filepath.Join(t.TempDir(), "next.json")
	if err := os.WriteFile(file, []byte(`{"version":5,"routes":[],"backends":[]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	args := []string{"config", "check", file, "--against", strings.TrimPrefix(control.URL, "http://")}
	var out, errs strings.Builder
	if code := Run(args, &out, &errs); code != ExitOK || !strings.Contains(out.String(), `change: service "s" is removed`) {
		t.Errorf("exit code %d, output %s %s", code, out.String(), errs.String())
	}
	answer = ""
	if code := Run(args, &out, &errs); code != ExitUnreachable || !strings.Contains(errs.String(), "status 503") {
		t.Errorf("exit code %d, errors %s", code, errs.String())
	}
}

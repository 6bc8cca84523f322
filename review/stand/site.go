package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Each machine has a loopback address of its own.
const (
	frontPort    = "8784"
	readyPort    = "8785"
	controlPort  = "8782"
	firstPeer    = 7440
	lastPeer     = 7455
	entryMetrics = "9464"
	coreMetrics  = "9465"
)

// machine is a machine of the system with its one process.
type machine struct {
	name, class, zone, ip, dir string
	bootstrap                  bool
	seeds                      []*machine // nil: the first machines of the core
	cmd                        *exec.Cmd
	exited                     chan struct{}
}

// site is a small deployment of real processes on loopback addresses.
type site struct {
	bin, dir, net string
	zones         []string
	cloud         string // address of the platform
	core, front   []*machine
	lastIP        int
	all           []*machine

	started time.Time
	mu      sync.Mutex
	out     *os.File
}

// newSite returns a deployment that writes its record to the file record.
func newSite(bin, record string) (*site, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{bin: bin, dir: dir, zones: []string{"bkk-a", "bkk-b", "bkk-c"}, started: time.Now(), out: out}
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", s.net+"1:"+controlPort)
		if err == nil {
			return s, l.Close()
		}
	}
	return nil, errors.New("no free subnet of the loopback range")
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%9.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) addMachine(class string, zone int) *machine {
	s.lastIP++
	m := &machine{class: class, zone: s.zones[zone%len(s.zones)], ip: s.net + strconv.Itoa(s.lastIP)}
	m.name = fmt.Sprintf("%s-%s-%d", class, m.zone, s.lastIP)
	m.dir = filepath.Join(s.dir, m.name)
	s.all = append(s.all, m)
	if class == "core" {
		s.core = append(s.core, m)
	} else {
		s.front = append(s.front, m)
	}
	return m
}

func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

// writeSettings writes the settings file of a machine, as DEPLOY.md shows it.
func (s *site) writeSettings(m *machine) (string, error) {
	from := m.seeds
	if from == nil {
		from = s.core[:min(3, len(s.core))]
	}
	var seeds []string
	for _, c := range from {
		seeds = append(seeds, c.ip+":"+controlPort)
	}
	listen, serves := map[string]string{"front": m.ip + ":" + frontPort, "ready": m.ip + ":" + readyPort}, "front"
	var data any
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4300, "link_mbps": 1000.0, "disk_mb": 0}
	if m.class == "core" {
		listen, serves = map[string]string{"control": m.ip + ":" + controlPort}, "control"
		data = m.dataDir()
		limits = map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
			return "", err
		}
	}
	settings := map[string]any{
		"node_name": m.name, "role": m.class, "machine_class": m.class, "serves": []string{serves}, "ip": m.ip, "zone": m.zone, "region": "th-central",
		"zones": map[string]string{"bkk-a": "th-central", "bkk-b": "th-central", "bkk-c": "th-central"}, "listen": listen,
		"internal_ports": []int{firstPeer, lastPeer}, "seeds": seeds, "bootstrap": m.bootstrap, "counts_as_loss": m.class == "core",
		"limits": limits, "data_dir": data, "discovery": "registry", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sql"}, "tolerate": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
			"config_apply_ms": 3000, "downgrade_ms": 250, "skew_max_ms": 12000, "recovery_s": 12, "require_fence": true, "thaw_ms": 300,
		},
		"config_mode": "highest",
		"cloud":       map[string]any{"address": s.cloud, "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0},
	}
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(m.dir, "local.json")
	return path, os.WriteFile(path, body, 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (s *site) start(m *machine) error {
	path, err := s.writeSettings(m)
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	role, port := "entry", entryMetrics
	if m.class == "core" {
		role, port = "control", coreMetrics
	}
	cmd := exec.Command(s.bin, "hosted", "--role", role, "--metrics-port", port)
	cmd.Env = append(os.Environ(), "TAMARACKCROSS_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	s.note("%s (%s) started: bootstrap %v", m.name, m.ip, m.bootstrap)
	m.bootstrap = false
	return nil
}

// stop sends a signal to the process of a machine and waits until it has ended. It kills the
// process after grace_s.
func (s *site) stop(m *machine, sig syscall.Signal) {
	if m.cmd == nil {
		return
	}
	s.note("%s gets the signal %q", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
	s.note("%s has ended", m.name)
	m.cmd = nil
}

func (m *machine) running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the folder of the deployment.
func (s *site) close() {
	for _, m := range s.all {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
	_ = s.out.Close()
}

// operatorClient gives up a call after a second, as PROTOCOL.md says.
var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// put sends a configuration to one machine and returns the status.
func (s *site) put(m *machine, body []byte) (int, error) {
	r, err := operatorClient.Post("http://"+m.ip+":"+controlPort+"/api/config/put", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode, nil
}

// get reads the configuration at one machine and returns its version.
func (s *site) get(m *machine) (uint64, int, error) {
	r, err := operatorClient.Get("http://" + m.ip + ":" + controlPort + "/api/config/get")
	if err != nil {
		return 0, 0, err
	}
	defer r.Body.Close()
	var doc struct{ Version uint64 }
	if r.StatusCode == http.StatusOK {
		err = json.NewDecoder(r.Body).Decode(&doc)
	}
	return doc.Version, r.StatusCode, err
}

// putUntilAcked sends a configuration to the machines of the core in turn until one
// acknowledges it.
func (s *site) putUntilAcked(version uint64, body []byte, within time.Duration) bool {
	end, wait := time.Now().Add(within), 50*time.Millisecond
	for time.Now().Before(end) {
		for _, m := range s.core {
			code, err := s.put(m, body)
			if code == http.StatusOK {
				s.note("operator: configuration %d acknowledged by %s", version, m.name)
				return true
			}
			s.note("operator: configuration %d sent to %s: status %d, error %v", version, m.name, code, err)
			if code == 400 || code == 409 || code == 413 || code == 422 {
				return false
			}
			time.Sleep(wait)
		}
		wait = min(2*wait, 800*time.Millisecond)
	}
	return false
}

// routeSpec is a route of a configuration.
type routeSpec struct {
	Name     string `json:"name"`
	Database string `json:"db_name"`
	Prefix   string `json:"path_prefix"`
	Type     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	Goal     int    `json:"goal_ms"`
	Prio     int    `json:"prio"`
	Service  string `json:"backend"`
	Attempts int    `json:"attempts"`
	MaxStale int    `json:"max_stale_ms,omitempty"`
}

// config encodes a configuration, as PROTOCOL.md shows it.
func config(version uint64, maxConns, syncReplicas int, services []string, routes []routeSpec) []byte {
	var backends []map[string]any
	for _, name := range services {
		backends = append(backends, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": maxConns, "protocol": "h1", "tls": false, "sync_replicas": syncReplicas,
		})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	if err != nil {
		panic(err) // the values are plain
	}
	return body
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort   = ":8784"
	readyPort   = ":8785"
	controlPort = ":8782"
	memberPort  = ":8080"
	cloudPort   = ":8783"
)

// proc is a process of the system with a loopback address of its own.
type proc struct {
	name, ip, zone, role, dir string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan error
	started bool // before
}

// site is a small deployment: processes of the system, members, the platform.
type site struct {
	root, dir string
	prefix    string // of the addresses
	rec       *record
	controls  []*proc
	entries   []*proc
	groups    []*group // the services
	group     *group   // the first of them, which has the load
	cloud     *http.Server
	stop      chan struct{}
	listMu    sync.Mutex // held while controls changes
	wg        sync.WaitGroup
}

var zones = []string{"za", "zb", "zc"}

// newSite prepares a site with three control instances, some entries and three services of three
// members each.
func newSite(root, dir string, entries, syncReplicas int, rec *record) (*site, error) {
	s := &site{root: root, dir: dir, rec: rec, stop: make(chan struct{})}
	var err error
	if s.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	for i := range 3 {
		s.controls = append(s.controls, &proc{name: "core-" + zones[i], ip: s.prefix + strconv.Itoa(10+i), zone: zones[i], role: "control"})
	}
	for i := range entries {
		s.entries = append(s.entries, &proc{name: fmt.Sprintf("front-%d", i+1), ip: s.prefix + strconv.Itoa(30+i), zone: zones[i%3], role: "entry"})
	}
	for i := range 3 {
		g := &group{name: fmt.Sprintf("svc%d", i+1), sync: syncReplicas, maxConns: 32, rec: rec, term: 1}
		for k := range 3 {
			g.members = append(g.members, &member{
				group: g, addr: s.prefix + strconv.Itoa(60+10*i+k) + memberPort, zone: zones[k], site: s, wake: make(chan struct{}, 1),
				id: fmt.Sprintf("i-s%dm%d", i+1, k+1), born: time.Now().UnixMilli(), cut: map[string]bool{}, conns: map[net.Conn]bool{},
			})
		}
		g.primary = g.members[0]
		s.groups = append(s.groups, g)
	}
	s.group = s.groups[0]
	return s, nil
}

// members returns the members of all services.
func (s *site) members() []*member {
	var out []*member
	for _, g := range s.groups {
		out = append(out, g.members...)
	}
	return out
}

// freePrefix returns the first three bytes of loopback addresses that nobody listens on.
func freePrefix() (string, error) {
	for i := range 200 {
		n := (os.Getpid()*7 + i) % 15000
		prefix := fmt.Sprintf("127.%d.%d.", 60+n/250, 1+n%250)
		l, err := net.Listen("tcp4", prefix+"10"+controlPort)
		if err == nil {
			return prefix, l.Close()
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// startPlatform starts the platform and the members.
func (s *site) startPlatform() error {
	l, err := net.Listen("tcp4", s.prefix+"5"+cloudPort)
	if err != nil {
		return err
	}
	s.cloud = &http.Server{Handler: http.HandlerFunc(s.promote)}
	go func() { _ = s.cloud.Serve(l) }()
	for _, m := range s.members() {
		if err := m.listen(); err != nil {
			return err
		}
	}
	for _, g := range s.groups {
		s.wg.Go(func() { g.replicate(s.stop) })
	}
	for _, m := range s.members() {
		s.wg.Go(func() { m.sendHeartbeats(s.stop) })
	}
	return nil
}

// startAll starts the platform, the members and all processes, and waits until a configuration is
// acknowledged and a write is served.
func (s *site) startAll() error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	for _, p := range append(append([]*proc{}, s.controls...), s.entries...) {
		if err := s.start(p); err != nil {
			return err
		}
	}
	if err := s.putConfig(1); err != nil {
		return err
	}
	return s.awaitReady(20 * time.Second)
}

func (s *site) start(p *proc) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dir = filepath.Join(s.dir, p.name)
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o755); err != nil {
		return err
	}
	path := filepath.Join(p.dir, "local.json")
	if err := os.WriteFile(path, s.settings(p), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	metrics := "9464"
	if p.role == "control" {
		metrics = "9465"
	}
	cmd := exec.Command("target/tamarackcross", "hosted", "--role", p.role, "--metrics-port", metrics)
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TAMARACKCROSS_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	running.Store(cmd, true)
	p.cmd, p.started, p.exited = cmd, true, make(chan error, 1)
	go func(exited chan error) {
		err := cmd.Wait()
		running.Delete(cmd)
		exited <- err
	}(p.exited)
	s.rec.add("started %s (process %d)", p.name, cmd.Process.Pid)
	return nil
}

func (s *site) settings(p *proc) []byte {
	var seeds []string
	for _, c := range s.controls {
		seeds = append(seeds, c.ip+controlPort)
	}
	class, serves, listen := "front", []string{"front"}, map[string]string{"front": p.ip + frontPort, "ready": p.ip + readyPort}
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4300, "link_mbps": 1000.0, "disk_mb": 0}
	var dataDir any
	if p.role == "control" {
		class, serves, listen = "core", []string{"control"}, map[string]string{"control": p.ip + controlPort}
		limits = map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		dataDir = filepath.Join(p.dir, "data")
	}
	body, err := json.Marshal(map[string]any{
		"node_name": p.name, "role": p.role, "machine_class": class, "serves": serves, "ip": p.ip, "zone": p.zone, "region": "r",
		"zones": map[string]string{"za": "r", "zb": "r", "zc": "r"}, "listen": listen, "internal_ports": []int{7440, 7455}, "seeds": seeds,
		"bootstrap": !p.started, "counts_as_loss": p.role == "control", "limits": limits, "data_dir": dataDir, "discovery": "registry", "entry": "vip",
		"heartbeat_ms": heartbeatInterval.Milliseconds(), "contracts": []string{"base", "drain", "config", "cost", "recover", "sql"},
		"tolerate": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
			"config_apply_ms": 3000, "downgrade_ms": 250, "skew_max_ms": 12000, "recovery_s": 12, "require_fence": true, "thaw_ms": 300,
		},
		"config_mode": "highest",
		"cloud":       map[string]any{"address": s.prefix + "5" + cloudPort, "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0},
	})
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return body
}

// running holds all processes that were started and have not been killed yet.
var running sync.Map

// killAll ends all processes that this program started.
func killAll() {
	running.Range(func(cmd, _ any) bool {
		_ = cmd.(*exec.Cmd).Process.Kill()
		return true
	})
}

// kill kills a process and waits for its end.
func (p *proc) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
	p.cmd = nil
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, p := range append(append([]*proc{}, s.entries...), s.controls...) {
		p.kill()
	}
	close(s.stop)
	if s.cloud != nil {
		_ = s.cloud.Close()
	}
	for _, m := range s.members() {
		m.group.mu.Lock()
		if m.listener != nil {
			m.crashLocked()
		}
		m.group.mu.Unlock()
	}
	s.wg.Wait()
}

// promote carries out an order of the platform's API.
func (s *site) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Backend, ID string }
	token, err := strconv.Atoi(r.Header.Get("Fence-Token"))
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || r.URL.Path != "/promote" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i := slices.IndexFunc(s.groups, func(g *group) bool { return g.name == body.Backend })
	if i < 0 || !s.groups[i].order(body.ID, token) {
		s.rec.note("order of %s to promote %s, token %d: rejected", r.Header.Get("Duty-Holder"), body.ID, token)
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.rec.note("order of %s to promote %s, token %d: accepted", r.Header.Get("Duty-Holder"), body.ID, token)
	time.AfterFunc(promoteTime, func() { s.groups[i].promote(body.ID, token) })
}

func (s *site) config(version int) []byte {
	var routes, backends []any
	route := func(name, kind string, stale int, g *group) {
		r := map[string]any{
			"name": "r-" + name, "db_name": name, "path_prefix": "/", "type": kind, "timeout_ms": 1000, "goal_ms": 200, "prio": 1, "backend": g.name, "attempts": 2,
		}
		if stale > 0 {
			r["max_stale_ms"] = stale
		}
		routes = append(routes, r)
	}
	for i, g := range s.groups {
		route(fmt.Sprintf("dbp%d", i+1), "primary", 0, g)
		route(fmt.Sprintf("dbb%d", i+1), "bounded_stale", 1500, g)
		route(fmt.Sprintf("dbs%d", i+1), "session", 2500, g)
		backends = append(backends, map[string]any{"name": g.name, "health_path": "/healthz", "max_conns": g.maxConns, "protocol": "h1", "tls": false, "sync_replicas": g.sync})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return body
}

// putConfig sends a configuration until it is acknowledged.
func (s *site) putConfig(version int) error { return s.putConfigFor(version, 15*time.Second) }

// putConfigFor does so for the given time.
func (s *site) putConfigFor(version int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		n := s.controls[i%len(s.controls)]
		resp, err := client.Post("http://"+n.ip+controlPort+"/api/config/put", "application/json", bytes.NewReader(s.config(version)))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.rec.note("configuration %d acknowledged by %s", version, n.name)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged within %v", version, limit)
}

// awaitReady waits until all entries are ready and serve a write.
func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range s.entries {
		for {
			resp, err := http.Get("http://" + e.ip + readyPort + "/api/ready")
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				c := &caller{site: s, name: "check-" + e.name}
				if out := c.once(e, "dbp1", "STORE item x"); strings.HasPrefix(out, "COMPLETE") {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

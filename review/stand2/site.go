package main

import (
	"bytes"
	"context"
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
	"strings"
	"sync"
	"syscall"
	"time"
)

// proc is an instance of the system: a process with a loopback address of its own.
type proc struct {
	name, ip, zone, role string
	dir                  string
	cmd                  *exec.Cmd
	exited               chan error
}

// site is a small installation: instances of the system, members, and the platform.
type site struct {
	bin, dir string
	prefix   string // of the addresses of the instances
	zones    []string
	kind     siteKind
	rec      *record
	core     []*proc
	front    []*proc
	groups   []*group
	ran      func(id, who string, log []*commit)
	promote  *http.Server
	address  string // of the platform
	ctx      context.Context
	cancel   context.CancelFunc

	mu   sync.Mutex
	mute map[string]bool // members whose heartbeats do not arrive
}

// siteKind holds the figures of an installation, as a site file has them.
type siteKind struct {
	region string
	zones  []string
	fronts []int // for each zone
	heart  time.Duration
}

const (
	portFront   = 8784
	portReady   = 8785
	portControl = 8782
	portPeer    = 7440
)

// newSite returns an installation that does not run yet.
func newSite(bin string, k siteKind, rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{bin: bin, dir: dir, zones: k.zones, kind: k, rec: rec, mute: make(map[string]bool)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.prefix, err = freeSubnet(); err != nil {
		return nil, err
	}
	host := 1
	add := func(list *[]*proc, role, class, zone string, n int) {
		host++
		name := fmt.Sprintf("%s-%s-%d", class, zone, n)
		*list = append(*list, &proc{name: name, ip: s.prefix + strconv.Itoa(host), zone: zone, role: role, dir: filepath.Join(dir, name)})
	}
	for i, z := range k.zones {
		add(&s.core, "control", "core", z, 1)
		for n := range k.fronts[i] {
			add(&s.front, "entry", "front", z, n+1)
		}
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.promote = &http.Server{Handler: http.HandlerFunc(s.handlePromote), ReadHeaderTimeout: time.Second}
	go func() { _ = s.promote.Serve(l) }()
	return s, nil
}

// freeSubnet returns the first three numbers of loopback addresses that nobody uses.
func freeSubnet() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portFront, portReady, portControl, portPeer} {
			l, err := net.Listen("tcp4", prefix+"2:"+strconv.Itoa(port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// start starts the process of an instance.
func (s *site) start(p *proc, bootstrap bool) error {
	seeds := make([]string, len(s.core))
	for i, c := range s.core {
		seeds[i] = c.ip + ":" + strconv.Itoa(portControl)
	}
	zones := make(map[string]string)
	for _, z := range s.zones {
		zones[z] = s.kind.region
	}
	listen := map[string]string{"front": p.ip + ":" + strconv.Itoa(portFront), "ready": p.ip + ":" + strconv.Itoa(portReady)}
	serves, class, command, port := "front", "front", "entry", "9464"
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4300, "link_mbps": 1000.0, "disk_mb": 0}
	var dataDir any
	if p.role == "control" {
		listen = map[string]string{"control": p.ip + ":" + strconv.Itoa(portControl)}
		serves, class, command, port = "control", "core", "control", "9465"
		limits = map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		dataDir = filepath.Join(p.dir, "data")
		if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o755); err != nil {
			return err
		}
	}
	settings := map[string]any{
		"node_name": p.name, "role": p.role, "machine_class": class, "serves": []string{serves}, "ip": p.ip, "zone": p.zone,
		"region": s.kind.region, "zones": zones, "listen": listen, "internal_ports": []int{portPeer, portPeer + 15}, "seeds": seeds,
		"bootstrap": bootstrap, "counts_as_loss": p.role == "control", "limits": limits, "data_dir": dataDir,
		"discovery": "registry", "entry": "vip", "heartbeat_ms": s.kind.heart.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sql"}, "tolerate": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 7000, "grace_s": graceS,
			"loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250, "skew_max_ms": 12000, "recovery_s": 12, "require_fence": true, "thaw_ms": 300,
		},
		"config_mode": "highest",
		"cloud":       map[string]any{"address": s.address, "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0},
	}
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(p.dir, "local.json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(s.bin, "hosted", "--role", command, "--metrics-port", port)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKCROSS_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan error, 1)
	go func(ch chan error) { ch <- cmd.Wait() }(p.exited)
	return nil
}

// graceS is the time in seconds from SIGTERM to SIGKILL.
const graceS = 6

// signal sends a signal to the process of an instance.
func (p *proc) signal(sig syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

func (s *site) startAll() error {
	for _, p := range append(append([]*proc(nil), s.core...), s.front...) {
		if err := s.start(p, true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (s *site) close() {
	s.cancel()
	for _, p := range append(append([]*proc(nil), s.core...), s.front...) {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	_ = s.promote.Close()
	for _, g := range s.groups {
		for _, m := range g.members {
			m.stop()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs are kept in", s.dir)
	}
}

func (s *site) handlePromote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Backend, ID string }
	token, err := strconv.Atoi(r.Header.Get("Fence-Token"))
	if err := errors.Join(err, json.NewDecoder(r.Body).Decode(&body)); err != nil || r.URL.Path != "/promote" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, g := range s.groups {
		if g.name == body.Backend {
			w.WriteHeader(g.order(r.Header.Get("Duty-Holder"), body.ID, token))
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// setMute sets whether the heartbeats of a member are cut off from control.
func (s *site) setMute(id string, mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute[id] = mute
}

func (s *site) isMute(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute[id]
}

// beat sends the heartbeats of a member until the installation ends.
func (s *site) beat(m *member) {
	client := &http.Client{Timeout: time.Second}
	t := time.NewTicker(s.kind.heart)
	defer t.Stop()
	next := rand.IntN(len(s.core))
	for {
		m.g.mu.Lock()
		m.seq++
		state, role := "ready", "replica"
		if m.draining {
			state = "draining"
		}
		if m == m.g.primary {
			role = "primary"
		}
		body := map[string]any{
			"backend": m.g.name, "address": m.way.addr(), "zone": m.zone, "version": "v1", "slots": m.g.kind.slots,
			"state": state, "cold_left_ms": 0, "db_role": role, "seq": m.seq, "born": m.born,
		}
		down := m.down
		m.g.mu.Unlock()
		if s.ctx.Err() != nil {
			return
		}
		for range len(s.core) {
			if down || s.isMute(m.id) {
				break
			}
			c := s.core[next%len(s.core)]
			if code, _ := call(client, "POST", "http://"+c.ip+":"+strconv.Itoa(portControl)+"/api/instances/"+m.id+"/heartbeat", body); code == 200 {
				m.acknowledged(state == "draining")
				break
			}
			next++
		}
		select {
		case <-t.C:
		case <-m.urgent:
		case <-s.ctx.Done():
			return
		}
	}
}

// acknowledged reports the first acknowledgements of a heartbeat.
func (m *member) acknowledged(draining bool) {
	m.g.mu.Lock()
	first, drain := m.firstAck, m.drainAck
	m.firstAck = nil
	if draining {
		m.drainAck = nil
	}
	m.g.mu.Unlock()
	if first != nil {
		first()
	}
	if draining && drain != nil {
		drain()
	}
}

// call makes an HTTP call with a JSON body. The code is 0 if there is no answer.
func call(client *http.Client, method, url string, body any) (code int, answer []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, _ = io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// newClient returns a client that waits a second for an answer.
func newClient() *http.Client { return &http.Client{Timeout: time.Second} }

// versionOf returns the version of a configuration, or 0.
func versionOf(body []byte) int {
	var doc struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(body, &doc) != nil {
		return 0
	}
	return doc.Version
}

// route is a route of the configuration.
type route struct {
	db, kind, service string
	timeoutMS, goalMS int
	maxStaleMS, prio  int
}

// configBody returns a configuration with the routes.
func (s *site) configBody(version int, routes []route) map[string]any {
	var rs, bs []map[string]any
	for i, r := range routes {
		out := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "db_name": r.db, "path_prefix": "/", "type": r.kind, "timeout_ms": r.timeoutMS, "goal_ms": r.goalMS,
			"prio": r.prio, "backend": r.service, "attempts": 2,
		}
		if r.maxStaleMS > 0 {
			out["max_stale_ms"] = r.maxStaleMS
		}
		rs = append(rs, out)
	}
	for _, g := range s.groups {
		n := 0
		if g.kind.sync {
			n = 1
		}
		bs = append(bs, map[string]any{"name": g.name, "health_path": "/healthz", "max_conns": g.kind.maxConns, "protocol": "h1", "tls": false, "sync_replicas": n})
	}
	return map[string]any{"version": version, "routes": rs, "backends": bs, "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000,
	}}
}

// putConfig sends a configuration until it is acknowledged.
func (s *site) putConfig(body map[string]any, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range s.core {
			if code, _ := call(client, "POST", "http://"+c.ip+":"+strconv.Itoa(portControl)+"/api/config/put", body); code == 200 {
				s.rec.add("configuration %v acknowledged by %s", body["version"], c.name)
				return nil
			}
		}
	}
	return errors.New("the configuration was not acknowledged")
}

// ready reports whether an instance counts as ready.
func (s *site) ready(p *proc) bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ip + ":" + strconv.Itoa(portReady) + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all entries are ready.
func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, p := range s.front {
		for !s.ready(p) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// up starts the installation with the routes and waits until it is ready.
func (s *site) up(routes []route) error {
	if err := s.startAll(); err != nil {
		return err
	}
	for _, g := range s.groups {
		for _, m := range g.members {
			go s.beat(m)
		}
	}
	if err := s.putConfig(s.configBody(7, routes), 20*time.Second); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	s.rec.add("all entries are ready")
	return nil
}

// logLines copies the lines of the log of an instance that contain a text to the record.
func (s *site) logLines(p *proc, texts ...string) {
	data, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return
	}
	for _, line := range strings.Split(string(data), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				s.rec.add("log of %s: %s", p.name, line)
				break
			}
		}
	}
}

package inst

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"tamarackcross/admin"
	"tamarackcross/fleet"
	"tamarackcross/state"
	"tamarackcross/stats"
)

var (
	errNotCurrent = eris.New("shared state is not known yet")
	errDraining   = eris.New("instance is shutting down")
)

// Ready returns nil if the platform may send callers to this instance.
func (i *Instance) Ready() error {
	if err := i.Current(); err != nil {
		return err
	}
	if i.entry != nil && i.entry.Draining() {
		return errDraining
	}
	return nil
}

// Stats returns the metrics of the instance.
func (i *Instance) Stats() *stats.Registry { return i.stats }

// Announce processes the announcement of a backend server.
func (i *Instance) Announce(ctx context.Context, a admin.Announcement) error {
	return i.announcements.Announce(ctx, a)
}

// Current returns nil once the instance has caught up with the shared state.
func (i *Instance) Current() error {
	select {
	case <-i.dissemination.ready:
		return nil
	default:
		return errNotCurrent
	}
}

// Fleet returns the configuration in force at this instance.
func (i *Instance) Fleet() admin.Fleet {
	v := i.views.View()
	cfg := v.Config()
	return admin.Fleet{
		Instance: i.cfg.Name, Zone: i.cfg.Zone, Version: cfg.Version(), ID: cfg.ID(), Author: cfg.Author(),
		Term: v.Stamp().Term, Index: v.Stamp().Index, Document: string(v.Document().YAML()),
	}
}

// Change submits a change of the configuration and waits for its result.
func (i *Instance) Change(ctx context.Context, c admin.Change) (admin.ChangeResult, error) {
	doc, err := fleet.Parse([]byte(c.Document))
	if err != nil {
		return admin.ChangeResult{}, err
	}
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	result, err := i.client.Propose(ctx, state.NewApplyConfig(c.ID, c.Base, doc, c.Author, time.Now()))
	if err != nil {
		return admin.ChangeResult{}, err
	}
	switch r := result.(type) {
	case state.ConfigAccepted:
		return admin.ChangeResult{ID: r.ID, Accepted: true, Version: r.Version}, nil
	case state.ConfigConflict:
		return admin.ChangeResult{
			ID: r.ID, Version: r.Current, WinnerID: r.Winner.ID, WinnerAuthor: r.Winner.Author,
			WinnerVersion: r.Winner.Version, Error: "another change was made on the same version",
		}, nil
	case state.Refused:
		return admin.ChangeResult{ID: c.ID, Error: string(r.Reason) + ": " + r.Detail}, nil
	}
	return admin.ChangeResult{}, eris.New("unexpected result of a configuration change")
}

const (
	statusTimeout     = time.Second // for one instance to answer
	maxStatusRequests = 32
)

// Status describes the fleet. It asks every instance for the version that the
// instance has in force.
func (i *Instance) Status(ctx context.Context) admin.Status {
	v := i.views.View()
	out := admin.Status{Fleet: i.Fleet()}
	for db := range v.Databases() {
		out.Databases = append(out.Databases, databaseInfo(db))
	}
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(maxStatusRequests)
	for in := range v.Instances() {
		p.Go(func() {
			info := i.fetchInfo(ctx, in)
			mu.Lock()
			defer mu.Unlock()
			out.Instances = append(out.Instances, info)
		})
	}
	p.Wait()
	slices.SortFunc(out.Instances, func(a, b admin.InstanceInfo) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Databases, func(a, b admin.DatabaseInfo) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func databaseInfo(db *state.Database) admin.DatabaseInfo {
	d := admin.DatabaseInfo{Name: db.Name(), Term: db.Term(), Primary: db.Primary(), History: db.History().String()}
	for _, m := range db.Members() {
		d.Members = append(d.Members, admin.MemberInfo{
			Name: m.Name, Zone: m.Zone, Address: m.Address, Primary: m.Name == db.Primary(),
			Voter: m.Voter, Leaving: m.Leaving, Gone: m.Gone,
		})
	}
	return d
}

// fetchInfo describes an instance. It fetches the version in force there; an
// instance that does not answer is marked as not reachable.
func (i *Instance) fetchInfo(ctx context.Context, in *state.Instance) admin.InstanceInfo {
	info := admin.InstanceInfo{Name: in.Name, Zone: in.Zone, Roles: in.Roles}
	if len(in.Addresses) <= addrAdmin {
		return info
	}
	info.Admin = in.Addresses[addrAdmin]
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+info.Admin+"/v1/fleet", nil)
	if err != nil {
		return info
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return info
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return info
	}
	var f admin.Fleet
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		return info
	}
	info.Reachable, info.Version, info.Index = true, f.Version, f.Index
	return info
}

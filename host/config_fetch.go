package host

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twmb/murmur3"

	"tamarackcross/event"
	"tamarackcross/mesh"
	"tamarackcross/patch"
)

const (
	// fetchTimeout bounds one Fetch call, whose reply may wait on a busy link for seconds.
	// What earlier calls received is kept.
	fetchTimeout = 4 * time.Second
	// fetchHedgeDelay is how long a control instance may take to answer before the next one
	// is asked too.
	fetchHedgeDelay = 500 * time.Millisecond
)

// configFetcher obtains the configuration for an entry, relative to the version that the entry
// has: with its announcement if that carries it, or else once, from one control instance.
type configFetcher struct {
	entry  *Entry
	wake   chan struct{}
	offers chan configOffer // versions that came with their announcement
	done   chan error       // receives the result of run
	base   atomic.Uint64    // newest version that was obtained, or 0 if body cannot serve as a base

	// The fields from here on are used by run alone.
	client   *mesh.Client // of the control instance that sent the last part, or nil
	held     uint64       // newest version that was obtained
	body     []byte       // of held
	partial  partialConfig
	failedAt map[string]time.Time // last failed call of each control instance
}

// partialConfig is the part of an encoded version that has arrived.
type partialConfig struct {
	version, base, digest uint64
	data                  []byte
}

func newConfigFetcher(e *Entry) *configFetcher {
	return &configFetcher{
		entry: e, wake: make(chan struct{}, 1), offers: make(chan configOffer, maxControlClients), done: make(chan error, 1),
		failedAt: make(map[string]time.Time),
	}
}

// configOffer is a version that came with its announcement.
type configOffer struct {
	control string // address of the control instance
	config  *mesh.FetchReply
}

// offer hands over a version that came with its announcement. It never blocks.
func (f *configFetcher) offer(o configOffer) {
	select {
	case f.offers <- o:
	default:
		f.wakeUp()
	}
}

// wakeUp tells the fetcher that a newer version was announced. It never blocks.
func (f *configFetcher) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run obtains each announced version until ctx ends.
func (f *configFetcher) run(ctx context.Context) error {
	defer func() {
		if f.client != nil {
			f.client.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case o := <-f.offers:
			f.applyOffer(o)
		}
		for ctx.Err() == nil && f.fetchNext(ctx) {
		}
	}
}

// fetchAttempt is the result of one Fetch call.
type fetchAttempt struct {
	client  *mesh.Client
	version uint64 // that was asked for
	reply   *mesh.FetchReply
	err     error
}

// applyOffer puts a version that came with its announcement in force and reports whether it did.
func (f *configFetcher) applyOffer(o configOffer) bool {
	c := o.config
	if c.Version <= f.held || c.Base == 0 || c.Base != f.base.Load() || len(c.Data) != c.Size {
		return false
	}
	if err := f.apply(o.control, partialConfig{version: c.Version, base: c.Base, digest: c.Digest, data: c.Data}); err != nil {
		f.entry.deps.Log.Warn().Err(err).Uint64(event.Version, c.Version).Msg("configuration of an announcement cannot be used; it is fetched")
		return false
	}
	f.partial = partialConfig{}
	return true
}

// fetchNext fetches the next part of a version. It asks one control instance, and another one
// whenever none has answered for fetchHedgeDelay. It returns false if there is none to ask until
// a control instance answers a Sync call.
func (f *configFetcher) fetchNext(parent context.Context) bool {
	ctx, stop := context.WithTimeout(parent, fetchTimeout)
	attempts, pending := make(chan fetchAttempt), make(map[string]bool)
	defer func() {
		stop()
		for range pending {
			(<-attempts).client.Close()
		}
	}()
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			hedge.Reset(fetchHedgeDelay)
			if !f.startAttempt(ctx, attempts, pending) && len(pending) == 0 {
				return false
			}
		case o := <-f.offers:
			if f.applyOffer(o) {
				return true
			}
		case a := <-attempts:
			delete(pending, a.client.Addr())
			err := f.handleAttempt(a)
			if err == nil || parent.Err() != nil {
				return true
			}
			f.recordFailure(a, err)
			if ctx.Err() != nil {
				return true
			}
			hedge.Reset(0)
		}
	}
}

// startAttempt asks a control instance that is not asked already: the one with an open connection,
// or the best one that announced a newer version. It returns false if none announced one.
func (f *configFetcher) startAttempt(ctx context.Context, attempts chan<- fetchAttempt, pending map[string]bool) bool {
	unusable := maps.Clone(f.failedAt)
	for addr := range pending {
		unusable[addr] = f.entry.deps.Now()
	}
	addr, version := f.entry.control.configSource(f.held, f.entry.settings.Zone, unusable)
	if addr == "" {
		return false
	}
	client := f.client
	if client != nil && f.entry.control.usableSource(client.Addr(), unusable) {
		addr, f.client = client.Addr(), nil // opening a connection takes a round trip
	} else {
		client = f.entry.control.newClient(addr)
	}
	in := &mesh.FetchRequest{Version: version, Base: f.base.Load()}
	if p := &f.partial; p.version > f.held {
		in.Version, in.Base, in.Digest, in.Offset = p.version, p.base, p.digest, len(p.data)
	}
	pending[addr] = true
	go func() {
		reply, err := client.Fetch(ctx, in)
		attempts <- fetchAttempt{client: client, version: version, reply: reply, err: err}
	}()
	return true
}

// handleAttempt adds the part of a version that arrived. The connection to a control instance
// that has the version is kept for the next call.
func (f *configFetcher) handleAttempt(a fetchAttempt) error {
	err := a.err
	if err == nil {
		err = f.addPart(a)
	}
	if err != nil {
		a.client.Close()
		return err
	}
	if f.client != nil {
		f.client.Close()
	}
	f.client = a.client
	return nil
}

// recordFailure leaves the control instance out until it answers a Sync call again.
func (f *configFetcher) recordFailure(a fetchAttempt, err error) {
	f.failedAt[a.client.Addr()] = f.entry.deps.Now()
	f.entry.deps.Stats.Scope().Counter("config_fetch_failures").Inc(1)
	f.entry.deps.Log.Warn().Err(err).Str("control", a.client.Addr()).Uint64(event.Version, a.version).
		Msg("fetching the configuration failed; another control instance is asked, or this one once it answers again")
}

// addPart adds the next part of a version, and puts the version in force when it is complete.
func (f *configFetcher) addPart(a fetchAttempt) error {
	p, reply := &f.partial, a.reply
	if reply.Version <= f.held {
		return eris.Errorf("host: control instance announced version %d and returned %d", a.version, reply.Version)
	}
	if reply.Offset == 0 {
		*p = partialConfig{version: reply.Version, base: reply.Base, digest: reply.Digest}
	}
	if reply.Offset != len(p.data) || reply.Digest != p.digest || len(reply.Data) == 0 || reply.Size > patch.MaxSize {
		*p = partialConfig{}
		return eris.New("host: reply does not continue the part of the configuration that has arrived")
	}
	p.data = append(p.data, reply.Data...)
	if len(p.data) < reply.Size {
		return nil
	}
	done := *p
	*p = partialConfig{}
	return f.apply(a.client.Addr(), done)
}

// apply puts a version that has arrived in force.
func (f *configFetcher) apply(addr string, p partialConfig) error {
	if murmur3.Sum64(p.data) != p.digest {
		return eris.New("host: digest of the configuration differs")
	}
	var base []byte
	switch held := f.base.Load(); p.base {
	case 0:
	case held:
		base = f.body
	default:
		return eris.Errorf("host: configuration refers to version %d, version %d is held", p.base, held)
	}
	body, err := patch.Decode(base, p.data)
	if err != nil {
		f.base.Store(0) // the next call asks for the complete configuration
		return err
	}
	f.held, f.body = p.version, body
	f.base.Store(p.version)
	log := f.entry.deps.Log
	log.Info().Str("control", addr).Uint64(event.Version, p.version).Uint64("base", p.base).Int("bytes", len(p.data)).Msg("configuration received")
	doc, err := f.entry.deps.Decode(body)
	if err != nil {
		log.Error().Err(err).Uint64(event.Version, p.version).Msg("configuration from control cannot be decoded; the one before stays in force")
		return nil
	}
	f.entry.server.Configure(doc)
	return nil
}

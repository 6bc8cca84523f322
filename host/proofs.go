package host

import (
	"context"
	"sync"

	"tamarackcross/mesh"
	"tamarackcross/proxy"
)

// proofs asks the nearest control instance for proofs of primaries.
type proofs struct {
	links *links
	zone  string

	mu      sync.Mutex
	clients map[string]*mesh.Client // by service, so that one does not wait for another
}

// Prove asks for a proof of the primary of a service.
func (p *proofs) Prove(ctx context.Context, service string) (proxy.Proof, error) {
	addr := p.links.nearest(p.zone)
	if addr == "" {
		return proxy.Proof{}, ErrNoLeader
	}
	reply, err := p.client(service, addr).Prove(ctx, &mesh.ProveRequest{Service: service})
	if err != nil {
		return proxy.Proof{}, err
	}
	if !reply.Known {
		return proxy.Proof{}, ErrUnknown
	}
	return proxy.Proof{Member: reply.Member, Position: reply.Position, Lags: reply.Lags}, nil
}

func (p *proofs) client(service, addr string) *mesh.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[service]
	if c == nil || c.Addr() != addr {
		if c != nil {
			go c.Close() // a call may be under way on it
		}
		c = mesh.NewClient(addr, mesh.Dial)
		p.clients[service] = c
	}
	return c
}

func (p *proofs) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

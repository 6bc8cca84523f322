package host

import (
	"context"
	"sync"

	"tamarackcross/mesh"
	"tamarackcross/proxy"
)

// proofClient is the proxy.Prover of an entry. It requests proofs of primary from the home of the
// entry, or from another control instance if that does not answer.
type proofClient struct {
	control *controlClients
	dial    mesh.DialFunc

	mu      sync.Mutex
	clients map[string]*mesh.Client // by service, so that the call for one service does not wait for that of another
}

// Prove requests a proof of primary of a service.
func (p *proofClient) Prove(ctx context.Context, service string) (proxy.Proof, error) {
	addr := p.control.nearest()
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

// client returns the client for the calls of a service, connected to addr.
func (p *proofClient) client(service, addr string) *mesh.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[service]
	if c == nil || c.Addr() != addr {
		if c != nil {
			go c.Close() // Close waits for a call in flight
		}
		c = mesh.NewClient(addr, p.dial)
		p.clients[service] = c
	}
	return c
}

func (p *proofClient) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

package config

import (
	"crypto/sha256"
	"strings"

	"github.com/rotisserie/eris"
)

// Key identifies the callers of a customer. It is a digest: documents and sessions do not hold the
// secret itself, so that no log line, message or dump of theirs can show it.
type Key [sha256.Size]byte

// NewKey returns the key of the secret that a caller presents.
func NewKey(secret string) Key { return sha256.Sum256([]byte(secret)) }

// String returns the same text for every key.
func (Key) String() string { return "[key]" }

// GoString returns the same text for every key.
func (Key) GoString() string { return "[key]" }

// Customer is a party whose callers identify themselves by a key. Connections to backend servers
// are opened in its name.
type Customer struct {
	Name     string
	Priority int     // 0 is the highest priority
	Rate     float64 // operations per second of all instances together; 0 for no cap
	Burst    float64 // operations beyond the rate
}

// Capped reports whether the operations of the customer are limited.
func (c Customer) Capped() bool { return c.Rate > 0 }

// Weight is the part of scarce capacity that the customer gets beside others.
func (c Customer) Weight() float64 {
	if c.Capped() {
		return c.Rate
	}
	return 1
}

// IdentifyCallers makes callers identify themselves by the key of a customer, except on public
// routes.
func (d *Document) IdentifyCallers() {
	if d.Customers == nil {
		d.Customers, d.customersByKey = make(map[string]Customer), make(map[Key]Customer)
	}
}

// AddCustomer adds a customer with its keys. Its errors do not show a key.
func (d *Document) AddCustomer(c Customer, keys ...Key) error {
	d.IdentifyCallers()
	if c.Name == "" || strings.ContainsFunc(c.Name, isBlankOrControl) {
		return eris.Errorf("customer %q: the name is empty or contains blanks", c.Name)
	}
	if _, duplicate := d.Customers[c.Name]; duplicate {
		return eris.Errorf("customer %q is listed twice", c.Name)
	}
	if !(c.Rate >= 0) || !(c.Burst >= 0) || c.Priority < 0 {
		return eris.Errorf("customer %q: rate, burst and priority must not be negative", c.Name)
	}
	for _, k := range keys {
		if other, shared := d.customersByKey[k]; shared && other.Name != c.Name {
			return eris.Errorf("customers %q and %q share a key", other.Name, c.Name)
		}
		d.customersByKey[k] = c
	}
	d.Customers[c.Name] = c
	return nil
}

// CustomerOf returns the customer that a key belongs to.
func (d *Document) CustomerOf(k Key) (Customer, bool) {
	c, ok := d.customersByKey[k]
	return c, ok
}

// isBlankOrControl reports whether a name that contains r cannot be sent to backend servers, whose
// messages are words separated by blanks.
func isBlankOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

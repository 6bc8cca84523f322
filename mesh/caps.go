package mesh

import (
	"context"

	"tamarackcross/caps"
)

// CapsReply is the answer to a caps.Ask. If the receiver is not the owner of the caps, Leader is
// the address of the leader of control, if known.
type CapsReply struct {
	_      struct{} `cbor:",toarray"`
	Owner  bool
	Leader string
	Grant  caps.Grant
}

// callCaps is the name of the drpc method.
const callCaps = "/mesh.Control/Caps"

// Caps asks the instance for tokens of customers.
func (c *Client) Caps(ctx context.Context, in *caps.Ask) (*CapsReply, error) {
	return call[CapsReply](ctx, c, callCaps, binaryEncoding{c.encoding}, in)
}

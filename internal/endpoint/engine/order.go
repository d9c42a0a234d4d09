package engine

import (
	"context"
	"encoding/hex"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"waxwingplank/internal/core/table"
)

// OrderKind states what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// CodeOldFence is the refusal code for an order whose fencing token is not the newest.
const CodeOldFence = "old_fence"

// Order states a desired end state, so it is idempotent.
type Order struct {
	ID      string
	Fence   int64
	Kind    OrderKind
	Model   string
	Version string
	Adapter string
	// Role is the new role of the engine. It is used by orders of the kind OrderRole.
	Role   string
	Layers table.Layers
}

// Order sends an order. It fails with the code CodeOldFence if the fencing token is not the newest.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	in := struct {
		Order   string    `json:"order"`
		Fence   int64     `json:"fence"`
		Kind    OrderKind `json:"kind"`
		Model   string    `json:"model"`
		Version string    `json:"version"`
		Adapter string    `json:"adapter,omitempty"`
		Role    string    `json:"role,omitempty"`
		Layers  [2]int    `json:"layers"`
	}{o.ID, o.Fence, o.Kind, o.Model, o.Version, o.Adapter, o.Role, [2]int{o.Layers.From, o.Layers.To}}
	return c.call(ctx, exchange{
		operation: "order", method: http.MethodPost, address: address, path: "/v1/orders", timeout: c.order, in: in,
	})
}

const (
	// prefixBlockBytes is the block size of the prefix cache: about 64 tokens of text.
	prefixBlockBytes = 256
	// maxPrefixBlocks covers a preamble of 4 KiB and limits the hashes computed for one request.
	maxPrefixBlocks = 16
)

// PrefixHashes returns the hashes of the prompt's prefixes of one block, two blocks and so on, up to
// maxPrefixBlocks. The shortest prefix is first.
func PrefixHashes(prompt string) []string {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]string, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes[i] = hex.EncodeToString(digest.Sum(nil))
	}
	return hashes
}

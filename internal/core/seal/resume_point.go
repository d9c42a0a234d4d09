package seal

import (
	"crypto/sha256"
	"crypto/subtle"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/table"
)

// ErrForeign is returned for an id that belongs to another workspace, service or body.
var ErrForeign = eris.New("seal: id belongs to another request")

// Digest is the SHA-256 digest of a request body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// chainBytes is the size of a chain digest; with 16 bytes, collisions are negligible.
const chainBytes = 16

// Chain is the running digest of all tokens delivered so far; the zero value is the digest of no text.
type Chain [chainBytes]byte

// chainInputBytes is the size of a stack buffer that fits the previous digest and a token of usual
// length, which avoids an allocation.
const chainInputBytes = 128

// Next returns the chain after one more token.
func (c Chain) Next(text string) Chain {
	var buf [chainInputBytes]byte
	in := append(buf[:0], c[:]...)
	in = append(in, text...)
	sum := sha256.Sum256(in)
	return Chain(sum[:chainBytes])
}

// ResumePointConfig describes a ResumePoint.
type ResumePointConfig struct {
	Service   table.ServiceID
	Workspace table.WorkspaceID
	Stream    table.StreamID
	Route     string
	Attempt   int
	Position  int
	Body      Digest
	Chain     Chain
}

// ResumePoint identifies a position in a stream, directly after the token at that position.
type ResumePoint struct{ cfg ResumePointConfig }

// NewResumePoint returns a resume point.
func NewResumePoint(cfg ResumePointConfig) ResumePoint { return ResumePoint{cfg: cfg} }

// Service returns the service of the stream.
func (p ResumePoint) Service() table.ServiceID { return p.cfg.Service }

// Workspace returns the workspace of the caller.
func (p ResumePoint) Workspace() table.WorkspaceID { return p.cfg.Workspace }

// Stream returns the id of the stream.
func (p ResumePoint) Stream() table.StreamID { return p.cfg.Stream }

// Route returns the identifier of the pipeline that generated the token.
func (p ResumePoint) Route() string { return p.cfg.Route }

// Attempt returns the number of the attempt that generated the token.
func (p ResumePoint) Attempt() int { return p.cfg.Attempt }

// Position returns the position of the last delivered token.
func (p ResumePoint) Position() int { return p.cfg.Position }

// Body returns the digest of the request body.
func (p ResumePoint) Body() Digest { return p.cfg.Body }

// Chain returns the digest of the text up to and including the token.
func (p ResumePoint) Chain() Chain { return p.cfg.Chain }

// Check returns ErrForeign unless the resume point has the given workspace, service and body digest.
func (p ResumePoint) Check(workspace table.WorkspaceID, service table.ServiceID, body Digest) error {
	same := subtle.ConstantTimeCompare(p.cfg.Body[:], body[:]) == 1
	if p.cfg.Workspace != workspace || p.cfg.Service != service || !same {
		return ErrForeign
	}
	return nil
}

package credentials

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/jsonc"
	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/table"
)

type tokensFile struct {
	Tokens []tokenEntry `json:"tokens"`
}

type tokenEntry struct {
	SHA256     string   `json:"sha256"`
	Workspaces []string `json:"workspaces"`
	Operator   bool     `json:"operator"`
	ExpiresAt  string   `json:"expires_at"`
}

type tokenGrant struct {
	workspaces []string
	operator   bool
	expires    time.Time
}

// TokensConfig configures Tokens.
type TokensConfig struct {
	// File is the tokens file. If it is empty, callers name their workspace without a token.
	File string
	Now  func() time.Time
}

// Tokens maps tokens to the workspaces that they may use. The file contains only hashes of tokens.
type Tokens struct {
	files *reloader[map[[sha256.Size]byte]tokenGrant]
	now   func() time.Time
}

// NewTokens reads the tokens file, if one is configured. It returns an error if the file is invalid.
func NewTokens(cfg TokensConfig) (*Tokens, error) {
	if cfg.File == "" {
		return &Tokens{now: cfg.Now}, nil
	}
	files, err := newReloader([]string{cfg.File}, func() (map[[sha256.Size]byte]tokenGrant, error) {
		return readTokens(cfg.File)
	}, cfg.Now)
	if err != nil {
		return nil, eris.Wrap(err, "credentials.NewTokens")
	}
	return &Tokens{files: files, now: cfg.Now}, nil
}

// Workspace returns the workspace that the token may use. If it may use several, the caller must name one. The error
// is a refusal with the code Unauthorized or Forbidden.
func (t *Tokens) Workspace(token, name string, firstSend bool) (table.WorkspaceID, error) {
	if t.files == nil {
		if name == "" {
			return "", newRefusal(outcome.Unauthorized, "the Workspace header is missing", firstSend)
		}
		return table.WorkspaceID(name), nil
	}
	g, ok := t.lookup(token)
	if !ok {
		return "", newRefusal(outcome.Unauthorized, "the bearer token is missing, unknown or expired", firstSend)
	}
	if name == "" && len(g.workspaces) == 1 {
		return table.WorkspaceID(g.workspaces[0]), nil
	}
	if !slices.Contains(g.workspaces, name) {
		return "", newRefusal(outcome.Forbidden, fmt.Sprintf("the token may not use workspace %q", name), firstSend)
	}
	return table.WorkspaceID(name), nil
}

// Operator reports whether the token may use the operator API. Without a tokens file, any token may.
func (t *Tokens) Operator(token string) bool {
	if t.files == nil {
		return true
	}
	g, ok := t.lookup(token)
	return ok && g.operator
}

func (t *Tokens) lookup(token string) (tokenGrant, bool) {
	g, ok := t.files.get()[sha256.Sum256([]byte(token))]
	if !ok || token == "" {
		return tokenGrant{}, false
	}
	if !g.expires.IsZero() && t.now().After(g.expires) {
		return tokenGrant{}, false
	}
	return g, true
}

// newRefusal returns a refusal that reports the outcome "not run" only for a first send. An earlier copy of a repeated
// request may have been sent with a token that was still valid.
func newRefusal(code outcome.Code, message string, firstSend bool) *outcome.Refusal {
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code:    code,
		Message: message,
		Facts:   outcome.Facts{FirstSend: firstSend},
	})
}

func readTokens(path string) (map[[sha256.Size]byte]tokenGrant, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read tokens file")
	}
	var f tokensFile
	at, err := jsonc.Decode(data, &f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	out := map[[sha256.Size]byte]tokenGrant{}
	for i, entry := range f.Tokens {
		field := fmt.Sprintf("tokens[%d]", i)
		sum, err := hex.DecodeString(entry.SHA256)
		if err != nil || len(sum) != sha256.Size {
			return nil, fmt.Errorf("%s: %w", path, at.FieldError(field+".sha256", "must be 64 hexadecimal digits"))
		}
		g := tokenGrant{workspaces: entry.Workspaces, operator: entry.Operator}
		if entry.ExpiresAt != "" {
			if g.expires, err = time.Parse(time.RFC3339, entry.ExpiresAt); err != nil {
				return nil, fmt.Errorf("%s: %w", path, at.FieldError(field+".expires_at", "must be a time such as 2026-12-04T00:00:00Z"))
			}
		}
		out[[sha256.Size]byte(sum)] = g
	}
	return out, nil
}

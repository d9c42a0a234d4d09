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
	Tokens []tokenFile `json:"tokens"`
}

type tokenFile struct {
	SHA256     string   `json:"sha256"`
	Workspaces []string `json:"workspaces"`
	Operator   bool     `json:"operator"`
	ExpiresAt  string   `json:"expires_at"`
}

type grant struct {
	workspaces []string
	operator   bool
	expires    time.Time
}

// TokensConfig names the tokens file.
type TokensConfig struct {
	// File is empty where callers name their workspace without a token.
	File string
	Now  func() time.Time
}

// Tokens knows which workspaces each token may use; the file holds only hashes of tokens.
type Tokens struct {
	files *reloader[map[[sha256.Size]byte]grant]
	now   func() time.Time
}

// NewTokens reads the tokens file.
func NewTokens(cfg TokensConfig) (*Tokens, error) {
	if cfg.File == "" {
		return &Tokens{now: cfg.Now}, nil
	}
	files, err := newReloader([]string{cfg.File}, func() (map[[sha256.Size]byte]grant, error) {
		return readTokens(cfg.File)
	}, cfg.Now)
	if err != nil {
		return nil, eris.Wrap(err, "credentials.NewTokens")
	}
	return &Tokens{files: files, now: cfg.Now}, nil
}

// Workspace returns the workspace that the token may use; with several, the caller names one.
func (t *Tokens) Workspace(token, name string, firstSend bool) (table.WorkspaceID, error) {
	if t.files == nil {
		if name == "" {
			return "", refuse(outcome.Unauthorized, "the Workspace header is missing", firstSend)
		}
		return table.WorkspaceID(name), nil
	}
	g, ok := t.lookup(token)
	if !ok {
		return "", refuse(outcome.Unauthorized, "the bearer token is missing, unknown or expired", firstSend)
	}
	if name == "" && len(g.workspaces) == 1 {
		return table.WorkspaceID(g.workspaces[0]), nil
	}
	if !slices.Contains(g.workspaces, name) {
		return "", refuse(outcome.Forbidden, fmt.Sprintf("the token may not use workspace %q", name), firstSend)
	}
	return table.WorkspaceID(name), nil
}

// Operator reports whether the token may use the operators' interface.
func (t *Tokens) Operator(token string) bool {
	if t.files == nil {
		return true
	}
	g, ok := t.lookup(token)
	return ok && g.operator
}

func (t *Tokens) lookup(token string) (grant, bool) {
	g, ok := t.files.get()[sha256.Sum256([]byte(token))]
	if !ok || token == "" {
		return grant{}, false
	}
	if !g.expires.IsZero() && t.now().After(g.expires) {
		return grant{}, false
	}
	return g, true
}

// refuse says "not run" for a first send only: an earlier copy may have come with a token that was still valid.
func refuse(code outcome.Code, message string, firstSend bool) *outcome.Refusal {
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code:    code,
		Message: message,
		Facts:   outcome.Facts{FirstSend: firstSend},
	})
}

func readTokens(path string) (map[[sha256.Size]byte]grant, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read tokens")
	}
	var f tokensFile
	at, err := jsonc.Decode(data, &f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	out := map[[sha256.Size]byte]grant{}
	for i, entry := range f.Tokens {
		field := fmt.Sprintf("tokens[%d]", i)
		sum, err := hex.DecodeString(entry.SHA256)
		if err != nil || len(sum) != sha256.Size {
			return nil, fmt.Errorf("%s: %w", path, at.FieldError(field+".sha256", "must be 64 hexadecimal digits"))
		}
		g := grant{workspaces: entry.Workspaces, operator: entry.Operator}
		if entry.ExpiresAt != "" {
			if g.expires, err = time.Parse(time.RFC3339, entry.ExpiresAt); err != nil {
				return nil, fmt.Errorf("%s: %w", path, at.FieldError(field+".expires_at", "must be a time such as 2026-12-04T00:00:00Z"))
			}
		}
		out[[sha256.Size]byte(sum)] = g
	}
	return out, nil
}

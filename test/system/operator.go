package system

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/document"
)

// ApplyResult is the response to a change of a document.
type ApplyResult struct {
	Status int
	Body   string
}

// OwnVersionHas reports whether a refusal shows a workspace in the operator's own version.
func (r ApplyResult) OwnVersionHas(workspace string) bool { return r.versionHas("yours", workspace) }

// StoredVersionHas reports whether a refusal shows a workspace in the stored version.
func (r ApplyResult) StoredVersionHas(workspace string) bool {
	return r.versionHas("theirs", workspace)
}

func (r ApplyResult) versionHas(side, workspace string) bool {
	var refusal struct{ Error map[string]json.RawMessage }
	if err := json.Unmarshal([]byte(r.Body), &refusal); err != nil {
		return false
	}
	return strings.Contains(string(refusal.Error[side]), strconv.Quote(workspace))
}

// RegistryWith returns the registry's document with additional workspaces.
func (s *System) RegistryWith(names ...string) (document.Document, error) {
	docs, err := s.Documents()
	if err != nil {
		return document.Document{}, err
	}
	var cfg document.Config
	for _, d := range docs {
		if d.Service() != Registry {
			continue
		}
		text, err := d.WithGeneration(1).Canonical()
		if err != nil {
			return d, eris.Wrap(err, "system.RegistryWith")
		}
		if err := json.Unmarshal(text, &cfg); err != nil {
			return d, eris.Wrap(err, "system.RegistryWith")
		}
	}
	cfg.Generation = 0
	for _, name := range names {
		cfg.Workspaces = append(cfg.Workspaces, document.Workspace{Name: name, Weight: 1})
	}
	return document.New(cfg)
}

// Apply sends a document that is based on a generation to the operator address of a host.
func Apply(ctx context.Context, operator string, d document.Document, base int) (ApplyResult, error) {
	text, err := d.WithGeneration(uint64(base)).Canonical()
	if err != nil {
		return ApplyResult{}, eris.Wrap(err, "system.Apply")
	}
	return ApplyText(ctx, operator, string(d.Service()), string(text), base)
}

// ApplyText sends a text, which need not be valid, as the document of a service.
func ApplyText(ctx context.Context, operator, service, text string, base int) (ApplyResult, error) {
	return put(ctx, "http://"+operator+"/v1/services/"+service, text, strconv.Itoa(base))
}

// Overwrite replaces an object of the platform at whatever version it has.
func Overwrite(ctx context.Context, platform, kind, name, text string) error {
	url := "http://" + platform + "/v1/objects/" + kind + "/" + name
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "system.Overwrite")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "system.Overwrite")
	}
	_ = resp.Body.Close()
	got, err := put(ctx, url, text, strings.Trim(resp.Header.Get("ETag"), `"`))
	if err != nil {
		return err
	}
	if got.Status >= http.StatusBadRequest {
		return eris.Errorf("PUT %s: status %d: %s", url, got.Status, got.Body)
	}
	return nil
}

// put sends a text with an If-Match header.
func put(ctx context.Context, url, text, match string) (ApplyResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(text))
	if err != nil {
		return ApplyResult{}, eris.Wrap(err, "system.put")
	}
	req.Header.Set("If-Match", strconv.Quote(match))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ApplyResult{}, eris.Wrap(err, "system.put")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return ApplyResult{}, eris.Wrap(err, "system.put")
	}
	return ApplyResult{Status: resp.StatusCode, Body: string(data)}, nil
}

// PostAndDecode sends JSON to a control path of a stand-in and decodes its response.
func PostAndDecode(ctx context.Context, address, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "system.PostAndDecode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "system.PostAndDecode")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "system.PostAndDecode")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("POST %s%s: %s", address, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

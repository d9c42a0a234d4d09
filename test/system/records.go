package system

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/standin/engine"
	"waxwingplank/internal/standin/plain"
)

// recordPath names the file that takes the executions of a stand-in. It outlives the process, so that a killed
// stand-in's record counts too.
func recordPath(dir, name string) string { return filepath.Join(dir, name+".executions") }

// Calls returns the executions of a plain service, also of one that was killed.
func (s *System) Calls(p *Process) ([]plain.Execution, error) {
	return readRecords[plain.Execution](recordPath(s.cfg.Dir, p.name))
}

// Runs returns the executions of an engine, also of one that was killed.
func (s *System) Runs(p *Process) ([]engine.Execution, error) {
	return readRecords[engine.Execution](recordPath(s.cfg.Dir, p.name))
}

func readRecords[T any](path string) ([]T, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "system.readRecords")
	}
	var out []T
	for line := range bytes.Lines(data) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			continue
		}
		var e T
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, eris.Wrapf(err, "system.readRecords: %s", path)
		}
		out = append(out, e)
	}
	return out, nil
}

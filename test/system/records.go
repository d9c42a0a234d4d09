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

// recordPath returns the path of the file with the executions of a stand-in. The file outlives the process, so that the
// executions of a killed stand-in can be read too.
func recordPath(dir, name string) string { return filepath.Join(dir, name+".executions") }

// PlainExecutions returns the executions of a worker of a plain service, which may have been killed.
func (s *System) PlainExecutions(p *Process) ([]plain.Execution, error) {
	return readRecords[plain.Execution](recordPath(s.cfg.Dir, p.name))
}

// EngineExecutions returns the executions of an engine, which may have been killed.
func (s *System) EngineExecutions(p *Process) ([]engine.Execution, error) {
	return readRecords[engine.Execution](recordPath(s.cfg.Dir, p.name))
}

// readRecords decodes the lines of a file. It ignores a line without an end, which a killed process leaves behind.
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

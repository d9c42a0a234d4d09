package script

import (
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// Case is one test case: the files NAME/PART of a txtar archive that share a NAME.
type Case struct {
	name  string
	parts map[string]string
}

// Name returns the name of the case.
func (c Case) Name() string { return c.name }

// Part returns the contents of one file of the case, or an empty string if it is missing.
func (c Case) Part(name string) string { return c.parts[name] }

// Timeout returns the part "timeout" of a case, or the given timeout if the case has none.
func (c Case) Timeout(usual time.Duration) time.Duration {
	text := strings.TrimSpace(c.parts["timeout"])
	if text == "" {
		return usual
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("script stand-in: " + err.Error())
	}
	return d
}

// ReadCases reads the test cases of a txtar archive, in the order of the file.
func ReadCases(path string) ([]Case, error) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		return nil, fmt.Errorf("read cases: %w", err)
	}
	var cases []Case
	for _, f := range archive.Files {
		name, part, ok := strings.Cut(f.Name, "/")
		if !ok {
			return nil, fmt.Errorf("read cases: %s: file %q is not NAME/PART", path, f.Name)
		}
		if len(cases) == 0 || cases[len(cases)-1].name != name {
			cases = append(cases, Case{name: name, parts: map[string]string{}})
		}
		cases[len(cases)-1].parts[part] = string(f.Data)
	}
	return cases, nil
}

package command

import (
	"context"
	"runtime/debug"
	"strings"
)

type versionCommand struct {
	baseCommand
}

func (c *versionCommand) run(_ context.Context, s *session) error {
	version, revision := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, v := range info.Settings {
			if v.Key == "vcs.revision" {
				revision = v.Value
			}
		}
	}
	if s.opts.JSON {
		return s.json(map[string]string{"version": version, "revision": revision})
	}
	s.printf("%s", strings.TrimSpace("waxwingplank "+version+" "+revision))
	return nil
}

type completionCommand struct {
	baseCommand
	Args struct {
		Shell string `positional-arg-name:"bash|zsh" description:"shell"`
	} `positional-args:"yes" required:"yes"`
}

// bashScript asks the program itself for the completions, so that the script never gets out of date.
const bashScript = `_waxwingplank() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:COMP_CWORD}" 2>/dev/null))
}
complete -o default -F _waxwingplank waxwingplank`

func (c *completionCommand) run(_ context.Context, s *session) error {
	switch c.Args.Shell {
	case "bash":
		s.printf("%s", bashScript)
	case "zsh":
		s.printf("autoload -Uz compinit bashcompinit && compinit && bashcompinit\n%s", bashScript)
	default:
		return fail(exitBadInput, "no completion for shell %q; bash and zsh are supported", c.Args.Shell)
	}
	return nil
}

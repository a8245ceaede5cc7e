package cmd

import "fmt"

// completionCmd is the subcommand completion.
type completionCmd struct{ env *env }

// bashCompletion is the bash script. It gets the completions from the program itself.
const bashCompletion = `_curlewsill() {
	local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _curlewsill curlewsill
`

// Execute implements flags.Commander.
func (c *completionCmd) Execute([]string) error {
	_, err := fmt.Fprint(c.env.stdout, bashCompletion)
	return err
}

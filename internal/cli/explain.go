package cli

import (
	"fmt"
	"os"

	"github.com/hawthornwick/hawthornwick/internal/explain"
)

const explainHelp = `Tell the story of one request from the log lines of one or more instances: every
decision that touched it, in order, and what the instances knew then. Reads
the files, or standard input when none is named.`

// explainCommand prints the decisions about one request.
type explainCommand struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"Id of the request"`
		Files []string `positional-arg-name:"FILE" description:"Logs of instances"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	story := explain.New(c.Args.ID)
	if len(c.Args.Files) == 0 {
		if err := story.AddLog(c.app.In); err != nil {
			return err
		}
	}
	for _, name := range c.Args.Files {
		if err := readLog(story, name); err != nil {
			return &inputError{err}
		}
	}
	found, err := story.Write(c.app.Out)
	if err != nil {
		return err
	}
	if story.MalformedLines > 0 {
		fmt.Fprintf(c.app.Err, "%d lines could not be read\n", story.MalformedLines)
	}
	if !found {
		return fmt.Errorf("no log line names request %q", c.Args.ID)
	}
	return nil
}

func readLog(story *explain.History, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return story.AddLog(file)
}

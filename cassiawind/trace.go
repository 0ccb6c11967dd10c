package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/tracelog"
)

func traceCommand() command {
	sub := newSubcommand("trace", "follows one request through the logs of gateway processes",
		"cassiawind trace 9c41d07be2a35f68 --file gateway-1.log --file gateway-2.log")
	var id string
	var files []string
	sub.AddPositionalValue(&id, "ID", 1, true, "id of the caller's attempt")
	sub.StringSlice(&files, "f", "file", "log to read, may be repeated; standard input without any")
	return command{sub, func() error { return trace(id, files) }}
}

func trace(id string, files []string) error {
	var t tracelog.Trace
	if len(files) == 0 {
		if err := t.Read(os.Stdin, "standard input", id); err != nil {
			return err
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(ErrUsage, err.Error())
		}
		err = t.Read(f, name, id)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	t.Sort()
	for _, line := range t.Lines {
		fields, err := json.Marshal(line.Fields)
		if err != nil {
			return errors.WithStack(err)
		}
		fmt.Printf("%s %s %s %s\n", line.Time, line.Source, line.Message, fields)
	}
	fmt.Printf("%d lines of request %s, %d unreadable lines\n", len(t.Lines), id, t.Unreadable)
	return nil
}

// Package cli is what the project's command lines share: parsing, errors and
// exit statuses, and whether output goes to a terminal.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"indigotack/internal/conf"
)

// Exit statuses of every command.
const (
	Sound  = 0
	Failed = 1 // mistakes, or an error
	Misuse = 2
)

// Output is where commands print. It is bound for their Run methods.
type Output struct{ Out, Err io.Writer }

type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// Usage is an error of a call that can't be carried out as it is.
func Usage(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// Status is an error that has been told already, with an exit status of its own.
type Status int

func (s Status) Error() string { return fmt.Sprintf("status %d", int(s)) }

// Run carries out one call of the commands and returns its exit status.
func Run(commands any, args []string, stdout, stderr io.Writer, name string, options ...kong.Option) int {
	exited := -1
	parser, err := kong.New(commands, append(options, kong.Name(name), kong.Writers(stdout, stderr), kong.Exit(func(n int) { exited = n }))...)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return Misuse
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 { // help was printed
		return exited
	}
	if err == nil {
		err = parsed.Run(&Output{Out: stdout, Err: stderr})
	}
	var own Status
	var wrong usageError
	var parse *kong.ParseError
	var list conf.Mistakes
	switch {
	case err == nil:
		return Sound
	case errors.As(err, &own):
		return int(own)
	case errors.As(err, &list) && !errors.As(err, &wrong):
		fmt.Fprintln(stderr, list)
		return Failed
	}
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	if errors.As(err, &wrong) || errors.As(err, &parse) {
		return Misuse
	}
	return Failed
}

// Terminal tells whether lines can be written over.
func Terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
}

// Progress prints how something stands: over and over on one line of a
// terminal, elsewhere as lines of their own, no closer together than Every.
type Progress struct {
	To    io.Writer
	Every time.Duration

	begun, live bool
	last        time.Duration
}

// Line prints what holds at a time from the start on.
func (p *Progress) Line(at time.Duration, format string, args ...any) {
	first := !p.begun
	if first {
		p.begun, p.live = true, Terminal(p.To)
	}
	line := fmt.Sprintf(format, args...)
	switch {
	case p.live:
		fmt.Fprintf(p.To, "\r\x1b[K%.118s", line)
	case first || at-p.last >= p.Every:
		p.last = at
		fmt.Fprintln(p.To, line)
	}
}

// End clears the line.
func (p *Progress) End() {
	if p.live {
		fmt.Fprint(p.To, "\r\x1b[K")
	}
}

// WriteTo writes a file, if there is a path.
func WriteTo(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

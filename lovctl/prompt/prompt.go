package prompt

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
)

// ErrEnded reports that the input ended before the questionnaire was complete.
var ErrInputEnded = errors.New("the input ended before the questionnaire was complete")

// Prompt reads answers line by line; an empty line keeps the value in brackets.
type Prompt struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

// New returns a prompt on the given input and output.
func New(in io.Reader, out io.Writer) *Prompt {
	return &Prompt{in: bufio.NewScanner(in), out: out}
}

// Answers asks the whole questionnaire, starting from the given answers, until it is valid.
//
// Its error is [ErrEnded], with what was typed so far.
func (p *Prompt) ReadAnswers(from form.Answers, customer fleet.CustomerID) (form.Answers, error) {
	a := from
	a.Customer = customer
	for {
		a = p.round(a)
		if p.err != nil {
			return a, p.err
		}
		err := a.Validate()
		if err == nil {
			return a, nil
		}
		invalid := (*form.InvalidError)(nil)
		if errors.As(err, &invalid) {
			for _, problem := range invalid.Problems {
				p.say("  %v", problem)
			}
		}
		p.say("These answers are not allowed. Correct them, or press Enter to keep a value.")
	}
}

// Confirm asks a question and reports whether the answer is yes.
func (p *Prompt) Confirm(question string) bool {
	return strings.HasPrefix(strings.ToLower(p.line(question+" [y/N]")), "y")
}

func (p *Prompt) round(a form.Answers) form.Answers {
	p.say("Configuration of %s. Lists are separated by commas; a single hyphen empties a list.", a.Customer)
	names := p.list("Services that answer requests", serviceNames(a.Services))
	a.Services = pick(a.Services, names, func(s form.Service) string { return s.Name }, newService)
	for i := range a.Services {
		a.Services[i] = p.service(a.Services[i])
	}
	names = p.list("Kinds of batch work", batchNames(a.Batch))
	a.Batch = pick(a.Batch, names, func(b form.Batch) string { return b.Name }, newBatch)
	for i := range a.Batch {
		a.Batch[i] = p.batch(a.Batch[i])
	}
	known := append(serviceNames(a.Services), batchNames(a.Batch)...)
	a.Urgent = p.list("What is urgent, of "+strings.Join(known, ", "), only(a.Urgent, known))
	a.MayWait = p.list("What may wait", only(a.MayWait, known))
	a.NeverTwice = p.list("What must never run twice", only(a.NeverTwice, known))
	a.Quota = p.quota(a.Quota)
	return a
}

func newService(name string) form.Service {
	return form.Service{Name: name, Replicas: 2, DeadlineMS: 1000, Size: form.Size{MilliCPU: 1000, MemoryMiB: 1024}}
}

func newBatch(name string) form.Batch {
	return form.Batch{Name: name, Size: form.Size{MilliCPU: 1000, MemoryMiB: 1024}}
}

func (p *Prompt) service(s form.Service) form.Service {
	s.Replicas = int(p.number(s.Name+": replicas", int64(s.Replicas)))
	s.DeadlineMS = p.number(s.Name+": answer within (ms)", s.DeadlineMS)
	s.Size = p.size(s.Name, s.Size)
	return s
}

func (p *Prompt) batch(b form.Batch) form.Batch {
	b.Size = p.size(b.Name, b.Size)
	b.MaxAttempts = int(p.number(b.Name+": attempts of a failing task (0 for the default)", int64(b.MaxAttempts)))
	return b
}

func (p *Prompt) size(name string, s form.Size) form.Size {
	s.MilliCPU = p.number(name+": processor (thousandths of a core)", s.MilliCPU)
	s.MemoryMiB = p.number(name+": memory (MiB)", s.MemoryMiB)
	s.Accelerators = p.number(name+": accelerators", s.Accelerators)
	return s
}

func (p *Prompt) quota(q form.Quota) form.Quota {
	p.say("Quota of everything together; 0 means no limit.")
	q.Size = p.size("quota", q.Size)
	q.RunningTasks = int(p.number("quota: running tasks", int64(q.RunningTasks)))
	q.RequestsPerSecond = p.decimal("quota: requests a second", q.RequestsPerSecond)
	q.Weight = int(p.number("quota: weight against other customers", int64(max(q.Weight, 1))))
	return q
}

func (p *Prompt) say(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format+"\n", args...)
}

func (p *Prompt) line(question string) string {
	if p.err != nil {
		return ""
	}
	_, _ = fmt.Fprint(p.out, question+": ")
	if !p.in.Scan() {
		p.err = ErrInputEnded
		return ""
	}
	return strings.TrimSpace(p.in.Text())
}

// ask repeats a question until parse accepts the text; an empty text keeps the value.
func ask[T any](p *Prompt, question string, value T, format string, parse func(string) (T, error)) T {
	for {
		text := p.line(fmt.Sprintf("%s ["+format+"]", question, value))
		if text == "" || p.err != nil {
			return value
		}
		parsed, err := parse(text)
		if err == nil {
			return parsed
		}
		p.say("  %q is not allowed: want a number", text)
	}
}

func (p *Prompt) number(question string, value int64) int64 {
	return ask(p, question, value, "%d", func(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) })
}

func (p *Prompt) decimal(question string, value float64) float64 {
	return ask(p, question, value, "%g", func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

func (p *Prompt) list(question string, value []string) []string {
	switch text := p.line(fmt.Sprintf("%s [%s]", question, strings.Join(value, ","))); text {
	case "":
		return value
	case "-":
		return nil
	default:
		var names []string
		for name := range strings.SplitSeq(text, ",") {
			names = append(names, strings.TrimSpace(name))
		}
		return names
	}
}

// pick returns the entries with the given names, creating those that are missing.
func pick[T any](all []T, names []string, nameOf func(T) string, create func(string) T) []T {
	picked := make([]T, 0, len(names))
	for _, name := range names {
		if i := slices.IndexFunc(all, func(e T) bool { return nameOf(e) == name }); i >= 0 {
			picked = append(picked, all[i])
		} else {
			picked = append(picked, create(name))
		}
	}
	return picked
}

func only(names, known []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !slices.Contains(known, name) })
}

func serviceNames(services []form.Service) []string {
	var names []string
	for _, s := range services {
		names = append(names, s.Name)
	}
	return names
}

func batchNames(batch []form.Batch) []string {
	var names []string
	for _, b := range batch {
		names = append(names, b.Name)
	}
	return names
}

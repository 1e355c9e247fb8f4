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

// ErrInputEnded reports that the input ended before the questionnaire was complete.
var ErrInputEnded = errors.New("the input ended before the questionnaire was complete")

// Prompt prints questions and reads one line for each answer; an empty line keeps the value shown in brackets.
type Prompt struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

// New returns a prompt that reads from in and prints to out.
func New(in io.Reader, out io.Writer) *Prompt {
	return &Prompt{in: bufio.NewScanner(in), out: out}
}

// ReadAnswers asks all questions, with the given default answers, and repeats them until the answers are valid.
//
// If the input ends early, it returns the answers entered so far and [ErrInputEnded].
func (p *Prompt) ReadAnswers(defaults form.Answers, customer fleet.CustomerID) (form.Answers, error) {
	a := defaults
	a.Customer = customer
	for {
		a = p.askOnce(a)
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
				p.printLine("  %v", problem)
			}
		}
		p.printLine("These answers are not allowed. Correct them, or press Enter to keep a value.")
	}
}

// Confirm asks a yes-or-no question and reports whether the answer is yes; an empty line is no.
func (p *Prompt) Confirm(question string) bool {
	return strings.HasPrefix(strings.ToLower(p.readLine(question+" [y/N]")), "y")
}

// askOnce asks every question once.
func (p *Prompt) askOnce(a form.Answers) form.Answers {
	p.printLine("Configuration of %s. Lists are separated by commas; a single hyphen empties a list.", a.Customer)
	names := p.askList("Services that answer requests", serviceNames(a.Services))
	a.Services = selectOrCreate(a.Services, names, func(s form.Service) string { return s.Name }, newService)
	for i := range a.Services {
		a.Services[i] = p.askService(a.Services[i])
	}
	names = p.askList("Kinds of batch work", batchNames(a.Batch))
	a.Batch = selectOrCreate(a.Batch, names, func(b form.Batch) string { return b.Name }, newBatch)
	for i := range a.Batch {
		a.Batch[i] = p.askBatch(a.Batch[i])
	}
	known := append(serviceNames(a.Services), batchNames(a.Batch)...)
	a.Urgent = p.askList("What is urgent, of "+strings.Join(known, ", "), intersect(a.Urgent, known))
	a.MayWait = p.askList("What may wait", intersect(a.MayWait, known))
	a.NeverTwice = p.askList("What must never run twice", intersect(a.NeverTwice, known))
	a.Quota = p.askQuota(a.Quota)
	return a
}

func newService(name string) form.Service {
	return form.Service{Name: name, Replicas: 2, DeadlineMS: 1000, Size: form.Size{MilliCPU: 1000, MemoryMiB: 1024}}
}

func newBatch(name string) form.Batch {
	return form.Batch{Name: name, Size: form.Size{MilliCPU: 1000, MemoryMiB: 1024}}
}

func (p *Prompt) askService(s form.Service) form.Service {
	s.Replicas = int(p.askInt(s.Name+": replicas", int64(s.Replicas)))
	s.DeadlineMS = p.askInt(s.Name+": answer within (ms)", s.DeadlineMS)
	s.Size = p.askSize(s.Name, s.Size)
	return s
}

func (p *Prompt) askBatch(b form.Batch) form.Batch {
	b.Size = p.askSize(b.Name, b.Size)
	b.MaxAttempts = int(p.askInt(b.Name+": attempts of a failing task (0 for the default)", int64(b.MaxAttempts)))
	return b
}

func (p *Prompt) askSize(name string, s form.Size) form.Size {
	s.MilliCPU = p.askInt(name+": processor (thousandths of a core)", s.MilliCPU)
	s.MemoryMiB = p.askInt(name+": memory (MiB)", s.MemoryMiB)
	s.Accelerators = p.askInt(name+": accelerators", s.Accelerators)
	return s
}

func (p *Prompt) askQuota(q form.Quota) form.Quota {
	p.printLine("Quota of everything together; 0 means no limit.")
	q.Size = p.askSize("quota", q.Size)
	q.RunningTasks = int(p.askInt("quota: running tasks", int64(q.RunningTasks)))
	q.RequestsPerSecond = p.askFloat("quota: requests a second", q.RequestsPerSecond)
	q.Weight = int(p.askInt("quota: weight against other customers", int64(max(q.Weight, 1))))
	return q
}

// printLine prints a formatted line.
func (p *Prompt) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format+"\n", args...)
}

// readLine prints a question and reads one line. Once the input has ended, it returns an empty line.
func (p *Prompt) readLine(question string) string {
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

// ask repeats a question until parse accepts the line; an empty line keeps the value.
func ask[T any](p *Prompt, question string, value T, format string, parse func(string) (T, error)) T {
	for {
		text := p.readLine(fmt.Sprintf("%s ["+format+"]", question, value))
		if text == "" || p.err != nil {
			return value
		}
		parsed, err := parse(text)
		if err == nil {
			return parsed
		}
		p.printLine("  %q is not allowed: want a number", text)
	}
}

func (p *Prompt) askInt(question string, value int64) int64 {
	return ask(p, question, value, "%d", func(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) })
}

func (p *Prompt) askFloat(question string, value float64) float64 {
	return ask(p, question, value, "%g", func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

// askList asks for a comma-separated list; a single hyphen empties the list.
func (p *Prompt) askList(question string, value []string) []string {
	switch text := p.readLine(fmt.Sprintf("%s [%s]", question, strings.Join(value, ","))); text {
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

// selectOrCreate returns the elements with the given names in their order, and creates those that are missing.
func selectOrCreate[T any](all []T, names []string, nameOf func(T) string, create func(string) T) []T {
	selected := make([]T, 0, len(names))
	for _, name := range names {
		if i := slices.IndexFunc(all, func(e T) bool { return nameOf(e) == name }); i >= 0 {
			selected = append(selected, all[i])
		} else {
			selected = append(selected, create(name))
		}
	}
	return selected
}

// intersect returns the names that are also in known.
func intersect(names, known []string) []string {
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

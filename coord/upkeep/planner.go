package upkeep

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// listEach is the pause between two readings of the list while machines are down or about to be; each is priced.
	listEach = time.Second
	// orderEach is the pause between two orders for one machine.
	orderEach = time.Second
	// restTime is about how long a machine is down, with the time until that is seen.
	restTime = 4 * time.Second
	// mostEmptying bounds how long a worker may take to finish or move its work, and timeUsed the share of a wave's duration
	// that is planned for.
	mostEmptying = 8 * time.Second
	timeUsed     = 0.8
)

// state is where a machine of a wave stands.
type state uint8

const (
	waiting state = iota
	// emptying machines finish or move their work.
	emptying
	// vacated machines wait for the record of their order.
	vacated
	// ordered machines may be down, or go down.
	ordered
	// resting machines have had their order carried out.
	resting
	done
)

type machine struct {
	id     infra.MachineID
	worker fleet.WorkerID
	state  state
	// version is that of the record that names the order.
	version int64
	orderAt time.Time
	restAt  time.Time
}

type wave struct {
	infra.Wave
	machines  []*machine
	since     time.Time
	version   int64
	saved     int64
	completed bool
}

// Planner is a reducer over [Event] that returns [Effect]. It is not safe for concurrent use.
type Planner struct {
	waves   map[int64]*wave
	now     time.Time
	effects []Effect
	listAt  time.Time
	reading bool
	listed  map[infra.MachineID]infra.Machine
	// listedAt is when the reading of listed began; zero before the first one.
	listedAt time.Time
}

// New returns a planner without waves.
func New() *Planner { return &Planner{waves: make(map[int64]*wave)} }

// Step applies an event and returns what is to be done.
func (p *Planner) Step(now time.Time, ev Event) []Effect {
	p.now = now
	switch ev := ev.(type) {
	case WaveRequested:
		p.request(ev)
	case MachinesListed:
		p.list(ev)
	case RecordSaved:
		if w := p.waves[ev.Wave]; w != nil {
			w.saved = max(w.saved, ev.Version)
		}
	case WorkerDrained:
		p.vacate(ev.Worker)
	case OrderAnswered:
		p.answer(ev)
	case Tick:
	}
	p.advance()
	out := p.effects
	p.effects = nil
	return out
}

func (p *Planner) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Planner) request(ev WaveRequested) {
	if p.waves[ev.Wave.Number] != nil {
		return
	}
	w := &wave{Wave: ev.Wave, since: p.now, completed: ev.Record.Completed}
	for _, id := range ev.Wave.Machines {
		m := &machine{id: id}
		switch {
		case slices.Contains(ev.Record.Done, id):
			m.state = done
		case slices.Contains(ev.Record.Ordered, id):
			m.state = ordered
		}
		w.machines = append(w.machines, m)
	}
	p.waves[ev.Wave.Number] = w
	p.emit(Log{Text: "wave requested", Wave: w.Number})
	if !w.completed {
		p.save(w)
	}
}

func (p *Planner) save(w *wave) {
	w.version++
	r := Record{Completed: w.completed}
	for _, m := range w.machines {
		switch m.state {
		case vacated, ordered, resting:
			r.Ordered = append(r.Ordered, m.id)
		case done:
			r.Done = append(r.Done, m.id)
		case waiting, emptying:
		}
	}
	p.emit(SaveRecord{Wave: w.Number, Version: w.version, Record: r})
}

// list takes up a reading; one that began before an order was answered does not show its effect.
func (p *Planner) list(ev MachinesListed) {
	p.reading = false
	if ev.Machines == nil {
		return
	}
	p.listedAt = ev.StartedAt
	p.listed = make(map[infra.MachineID]infra.Machine, len(ev.Machines))
	for _, m := range ev.Machines {
		p.listed[m.ID] = m
	}
	for _, w := range p.waves {
		changed := false
		for _, m := range w.machines {
			seen, found := p.listed[m.id]
			switch {
			case !found && m.state != done:
				p.emit(Log{Text: "machine of a wave has gone", Wave: w.Number, Machine: m.id})
				changed = true
				p.finish(m)
			case m.state == resting && seen.Up && ev.StartedAt.After(m.restAt):
				p.emit(Log{Text: "upkeep done", Wave: w.Number, Machine: m.id})
				changed = true
				p.finish(m)
			}
		}
		if changed {
			p.save(w)
		}
	}
}

func (p *Planner) finish(m *machine) {
	m.state = done
	if m.worker != "" {
		p.emit(ReinstateWorker{Worker: m.worker})
	}
}

func (p *Planner) vacate(id fleet.WorkerID) {
	for _, w := range p.waves {
		for _, m := range w.machines {
			if m.worker == id && m.state == emptying {
				m.state = vacated
				p.save(w)
				m.version = w.version
			}
		}
	}
}

func (p *Planner) answer(ev OrderAnswered) {
	w := p.waves[ev.Wave]
	if w == nil {
		return
	}
	for _, m := range w.machines {
		if m.id != ev.Machine || m.state != ordered {
			continue
		}
		var refused *infra.MachineError
		switch {
		case ev.Err == nil:
			p.emit(Log{Text: "upkeep begun", Wave: w.Number, Machine: m.id})
			m.state, m.restAt = resting, p.now
		case errors.As(ev.Err, &refused) && refused.Reason == infra.MachineFenced:
			p.emit(Resign{Machine: m.id})
		case errors.As(ev.Err, &refused) && (refused.Reason == infra.MachineUnknown || refused.Reason == infra.MachineNotInWave):
			p.emit(Log{Text: "machine is not to be taken down", Wave: w.Number, Machine: m.id, Reason: string(refused.Reason)})
			p.finish(m)
			p.save(w)
		default:
			p.emit(Log{Text: "upkeep not begun yet", Wave: w.Number, Machine: m.id, Reason: ev.Err.Error()})
		}
	}
}

// advance does what the state of the waves asks for.
func (p *Planner) advance() {
	open := false
	for _, w := range p.sorted() {
		open = open || !w.completed
		p.advanceWave(w)
	}
	if open && !p.reading && !p.now.Before(p.listAt) {
		p.reading, p.listAt = true, p.now.Add(listEach)
		p.emit(ListMachines{})
	}
}

func (p *Planner) sorted() []*wave {
	all := make([]*wave, 0, len(p.waves))
	for _, w := range p.waves {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

func (p *Planner) advanceWave(w *wave) {
	if w.completed || p.listedAt.IsZero() {
		return
	}
	remaining, busy := 0, p.others(w)
	for _, m := range w.machines {
		if m.state != done {
			remaining++
		}
		if m.state != waiting && m.state != done {
			busy++
		}
		if m.state == vacated && w.saved >= m.version {
			m.state = ordered
		}
		if m.state == ordered && !p.now.Before(m.orderAt) {
			m.orderAt = p.now.Add(orderEach)
			p.emit(OrderMaintenance{Wave: w.Number, Machine: m.id})
		}
	}
	if remaining == 0 {
		w.completed = true
		p.emit(Log{Text: "wave completed", Wave: w.Number})
		p.save(w)
		return
	}
	for _, m := range w.machines {
		seen := p.listed[m.id]
		if m.state != waiting || busy >= w.MaxDown || !seen.Up || p.inOtherWave(w, m.id) {
			continue
		}
		busy++
		m.state, m.worker = emptying, seen.Worker
		p.emit(DrainWorker{Worker: m.worker, Deadline: p.now.Add(w.emptyTime(remaining, p.now))})
	}
}

// others counts the machines of a wave that are down for their upkeep without an order of this planner's knowledge.
func (p *Planner) others(w *wave) int {
	count := 0
	for _, m := range w.machines {
		if (m.state == waiting || m.state == done) && p.listed[m.id].InMaintenance {
			count++
		}
	}
	return count
}

// inOtherWave reports whether an earlier wave has taken up a machine.
func (p *Planner) inOtherWave(w *wave, id infra.MachineID) bool {
	for _, o := range p.waves {
		for _, m := range o.machines {
			if o != w && m.id == id && m.state != waiting && m.state != done {
				return true
			}
		}
	}
	return false
}

// emptyTime returns how long a worker may take to finish or move its work so that the wave ends in time.
func (w *wave) emptyTime(remaining int, now time.Time) time.Duration {
	left := time.Duration(timeUsed*float64(w.Duration)) - now.Sub(w.since)
	rounds := (remaining + w.MaxDown - 1) / w.MaxDown
	return min(mostEmptying, max(0, left/time.Duration(rounds)-restTime))
}

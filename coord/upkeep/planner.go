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
	listInterval = time.Second
	// orderEach is the pause between two orders for one machine.
	orderRetryInterval = time.Second
	// restTime is about how long a machine is down, with the time until that is seen.
	expectedDowntime = 4 * time.Second
	// mostEmptying bounds how long a worker may take to finish or move its work, and timeUsed the share of a wave's duration
	// that is planned for.
	maxDrainTime = 8 * time.Second
	plannedShare     = 0.8
)

// state is where a machine of a wave stands.
type machineState uint8

const (
	waiting machineState = iota
	// emptying machines finish or move their work.
	draining
	// vacated machines wait for the record of their order.
	drained
	// ordered machines may be down, or go down.
	ordered
	// resting machines have had their order carried out.
	down
	done
)

type machine struct {
	id     infra.MachineID
	worker fleet.WorkerID
	state  machineState
	// version is that of the record that names the order.
	orderVersion int64
	nextOrderAt time.Time
	downAt  time.Time
}

type wave struct {
	infra.Wave
	machines  []*machine
	requestedAt     time.Time
	recordVersion   int64
	savedVersion     int64
	completed bool
}

// Planner is a reducer over [Event] that returns [Effect]. It is not safe for concurrent use.
type Planner struct {
	waves   map[int64]*wave
	now     time.Time
	effects []Effect
	nextListAt  time.Time
	listing bool
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
		p.addWave(ev)
	case MachinesListed:
		p.applyList(ev)
	case RecordSaved:
		if w := p.waves[ev.Wave]; w != nil {
			w.savedVersion = max(w.savedVersion, ev.Version)
		}
	case WorkerDrained:
		p.markDrained(ev.Worker)
	case OrderAnswered:
		p.applyAnswer(ev)
	case Tick:
	}
	p.advance()
	out := p.effects
	p.effects = nil
	return out
}

func (p *Planner) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Planner) addWave(ev WaveRequested) {
	if p.waves[ev.Wave.Number] != nil {
		return
	}
	w := &wave{Wave: ev.Wave, requestedAt: p.now, completed: ev.Record.Completed}
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
	w.recordVersion++
	r := Record{Completed: w.completed}
	for _, m := range w.machines {
		switch m.state {
		case drained, ordered, down:
			r.Ordered = append(r.Ordered, m.id)
		case done:
			r.Done = append(r.Done, m.id)
		case waiting, draining:
		}
	}
	p.emit(SaveRecord{Wave: w.Number, Version: w.recordVersion, Record: r})
}

// list takes up a reading; one that began before an order was answered does not show its effect.
func (p *Planner) applyList(ev MachinesListed) {
	p.listing = false
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
			case m.state == down && seen.Up && ev.StartedAt.After(m.downAt):
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

func (p *Planner) markDrained(id fleet.WorkerID) {
	for _, w := range p.waves {
		for _, m := range w.machines {
			if m.worker == id && m.state == draining {
				m.state = drained
				p.save(w)
				m.orderVersion = w.recordVersion
			}
		}
	}
}

func (p *Planner) applyAnswer(ev OrderAnswered) {
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
			m.state, m.downAt = down, p.now
		case errors.As(ev.Err, &refused) && refused.Reason == infra.MachineFenced:
			p.emit(Resign{Machine: m.id})
		case errors.As(ev.Err, &refused) && (refused.Reason == infra.MachineUnknown || refused.Reason == infra.MachineOtherWave):
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
	for _, w := range p.sortedWaves() {
		open = open || !w.completed
		p.advanceWave(w)
	}
	if open && !p.listing && !p.now.Before(p.nextListAt) {
		p.listing, p.nextListAt = true, p.now.Add(listInterval)
		p.emit(ListMachines{})
	}
}

func (p *Planner) sortedWaves() []*wave {
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
	remaining, busy := 0, p.countUnrecordedDown(w)
	for _, m := range w.machines {
		if m.state != done {
			remaining++
		}
		if m.state != waiting && m.state != done {
			busy++
		}
		if m.state == drained && w.savedVersion >= m.orderVersion {
			m.state = ordered
		}
		if m.state == ordered && !p.now.Before(m.nextOrderAt) {
			m.nextOrderAt = p.now.Add(orderRetryInterval)
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
		if m.state != waiting || busy >= w.Cap || !seen.Up || p.activeInOtherWave(w, m.id) {
			continue
		}
		busy++
		m.state, m.worker = draining, seen.Worker
		p.emit(DrainWorker{Worker: m.worker, Deadline: p.now.Add(w.drainTime(remaining, p.now))})
	}
}

// others counts the machines of a wave that are down for their upkeep without an order of this planner's knowledge.
func (p *Planner) countUnrecordedDown(w *wave) int {
	count := 0
	for _, m := range w.machines {
		if (m.state == waiting || m.state == done) && p.listed[m.id].Resting {
			count++
		}
	}
	return count
}

// inOtherWave reports whether an earlier wave has taken up a machine.
func (p *Planner) activeInOtherWave(w *wave, id infra.MachineID) bool {
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
func (w *wave) drainTime(remaining int, now time.Time) time.Duration {
	left := time.Duration(plannedShare*float64(w.Duration)) - now.Sub(w.requestedAt)
	rounds := (remaining + w.Cap - 1) / w.Cap
	return min(maxDrainTime, max(0, left/time.Duration(rounds)-expectedDowntime))
}

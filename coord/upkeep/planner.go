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
	// listInterval is the pause between two reads of the machine list while a wave is in progress; each read has a
	// cost.
	listInterval = time.Second
	// orderRetryInterval is the pause before an order for the same machine is repeated.
	orderRetryInterval = time.Second
	// expectedDowntime estimates how long a machine is down, including the delay until the machine list shows it up
	// again.
	expectedDowntime = 4 * time.Second
	// maxEvacuationTime bounds how long a worker may take to finish or move its tasks. plannedShare is the part of a
	// wave's duration that the evacuations are planned within; the rest is reserve.
	maxEvacuationTime = 8 * time.Second
	plannedShare      = 0.8
	// missingLists is the number of successive lists without a machine after which the machine may be gone. A list can
	// lack a machine that is there, so that only the answer to an order shows that it is gone.
	missingLists = 3
)

// machineState is the progress of one machine within a wave.
type machineState uint8

const (
	waiting machineState = iota
	// evacuating: the machine's worker finishes or moves its tasks.
	evacuating
	// evacuated: the record that contains the order is not durable yet, so the order may not be sent.
	evacuated
	// ordered: the order may have been sent, so the machine may be down or go down at any time.
	ordered
	// down: the platform confirmed the order, and the machine list does not show the machine up again yet.
	down
	done
)

// machine is one machine of a wave.
type machine struct {
	id     infra.MachineID
	worker fleet.WorkerID
	state  machineState
	// orderVersion is the first record version that contains the order for this machine.
	orderVersion int64
	nextOrderAt  time.Time
	// evacuateBy is the end of the evacuation, which this planner or an earlier one has begun; zero if none has.
	evacuateBy time.Time
	downAt     time.Time
}

// listedMachine is the last list entry of a machine. missing is the number of lists since then.
type listedMachine struct {
	infra.Machine
	missing int
}

func (m listedMachine) mayBeGone() bool { return m.missing >= missingLists }

type wave struct {
	infra.Wave
	machines []*machine
	// requestedAt is when a planner first received the wave, by the clock of this one; recordedAt is the same as in the
	// record. receivedAt is when this planner received it.
	requestedAt   time.Time
	recordedAt    int64
	receivedAt    time.Time
	recordVersion int64 // of the last SaveRecord
	savedVersion  int64 // of the last durable record
	unsaved       bool  // since the last SaveRecord
	completed     bool
}

// Planner is a state machine that turns each [Event] into [Effect] values. It is not safe for concurrent use.
type Planner struct {
	waves   map[int64]*wave
	now     time.Time
	effects []Effect
	// records are the [SaveRecord] effects, which precede the others.
	records    []Effect
	nextListAt time.Time
	listing    bool
	// machinesByID holds the last machine list, and the machines of the waves that it lacks.
	machinesByID map[infra.MachineID]listedMachine
	// listStartedAt is when the read that returned machinesByID was started; zero before the first one.
	listStartedAt time.Time
}

// New returns a planner without waves.
func New() *Planner { return &Planner{waves: make(map[int64]*wave)} }

// Step applies an event and returns the effects that the caller has to perform, in order. Records come first: the caller may pass an
// answer to a later effect to Step before it performs the next one, and a record of that answer must not be overtaken.
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
	case WorkerEvacuated:
		p.markEvacuated(ev.Worker)
	case OrderAnswered:
		p.applyAnswer(ev)
	case Tick:
	}
	p.advance()
	p.save()
	out := append(p.records, p.effects...)
	p.records, p.effects = nil, nil
	return out
}

func (p *Planner) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Planner) addWave(ev WaveRequested) {
	if p.waves[ev.Wave.Number] != nil {
		return
	}
	w := &wave{
		Wave: ev.Wave, requestedAt: p.now, recordedAt: ev.Wall.UnixMilli(), receivedAt: p.now, completed: ev.Record.Completed,
	}
	if r := ev.Record.RequestedAt; r != 0 {
		// The clocks of two hosts may differ.
		w.requestedAt = p.now.Add(-min(max(0, ev.Wall.Sub(time.UnixMilli(r))), w.Duration))
		w.recordedAt = r
	}
	for _, id := range ev.Wave.Machines {
		m := &machine{id: id}
		switch {
		case slices.Contains(ev.Record.Done, id):
			m.state = done
		case slices.Contains(ev.Record.Ordered, id):
			m.state = ordered
		}
		for _, e := range ev.Record.Evacuating {
			if e.Machine == id {
				m.evacuateBy = w.requestedAt.Add(time.Duration(e.Deadline) * time.Millisecond)
			}
		}
		w.machines = append(w.machines, m)
	}
	// An evacuation that an earlier planner has begun continues before another one begins.
	slices.SortStableFunc(w.machines, func(a, b *machine) int { return cmp.Compare(a.evacuationRank(), b.evacuationRank()) })
	p.waves[ev.Wave.Number] = w
	p.emit(Log{Text: "wave requested", Wave: w.Number})
	w.unsaved = !w.completed
}

// evacuationRank is 0 for a machine whose evacuation has begun, and 1 for others.
func (m *machine) evacuationRank() int {
	if m.evacuateBy.IsZero() {
		return 1
	}
	return 0
}

// save requests that the changes of a step become durable, with one record for each wave.
func (p *Planner) save() {
	for _, w := range p.sortedWaves() {
		if w.unsaved {
			w.unsaved = false
			w.recordVersion++
			p.records = append(p.records, SaveRecord{Wave: w.Number, Version: w.recordVersion, Record: w.record()})
		}
	}
}

func (w *wave) record() Record {
	r := Record{RequestedAt: w.recordedAt, Completed: w.completed}
	for _, m := range w.machines {
		switch m.state {
		case evacuated, ordered, down:
			r.Ordered = append(r.Ordered, m.id)
		case done:
			r.Done = append(r.Done, m.id)
		case waiting, evacuating:
			if !m.evacuateBy.IsZero() {
				r.Evacuating = append(r.Evacuating, Evacuation{Machine: m.id, Deadline: m.evacuateBy.Sub(w.requestedAt).Milliseconds()})
			}
		}
	}
	return r
}

// applyList applies a read of the machine list. A machine counts as up again only if the read was started after its
// order was confirmed: an earlier read shows the state before the machine went down.
func (p *Planner) applyList(ev MachinesListed) {
	p.listing = false
	if ev.Machines == nil {
		return
	}
	p.listStartedAt = ev.StartedAt
	p.replaceList(ev.Machines)
	for _, w := range p.waves {
		changed := false
		for _, m := range w.machines {
			entry := p.machinesByID[m.id]
			switch {
			case m.state == down && entry.Up && ev.StartedAt.After(m.downAt):
				p.emit(Log{Text: "machine maintenance finished", Wave: w.Number, Machine: m.id})
				changed = true
				p.finish(m)
			case m.state == down && entry.mayBeGone():
				// The order is repeated, which has no effect on a machine that is down for it.
				m.state = ordered
			}
		}
		w.unsaved = w.unsaved || changed
	}
}

// replaceList replaces the machine list. A machine of a wave that the new list lacks is not up, and counts as down for
// maintenance if it did so before and is not likely to be gone.
func (p *Planner) replaceList(machines []infra.Machine) {
	former := p.machinesByID
	p.machinesByID = make(map[infra.MachineID]listedMachine, len(machines))
	for _, m := range machines {
		p.machinesByID[m.ID] = listedMachine{Machine: m}
	}
	for _, w := range p.waves {
		for _, m := range w.machines {
			if _, found := p.machinesByID[m.id]; found {
				continue
			}
			entry := former[m.id]
			entry.missing++
			entry.Up, entry.InMaintenance = false, entry.InMaintenance && !entry.mayBeGone()
			p.machinesByID[m.id] = entry
			if entry.missing == 1 {
				p.emit(Log{Text: "machine missing from the list", Wave: w.Number, Machine: m.id})
			}
		}
	}
}

// finish marks the maintenance of a machine as done and uncordons its worker if this planner cordoned it.
func (p *Planner) finish(m *machine) {
	m.state = done
	if m.worker != "" {
		p.emit(UncordonWorker{Worker: m.worker})
	}
}

// markEvacuated adds the order for an evacuated machine to the record; the order is sent once that record is durable.
func (p *Planner) markEvacuated(id fleet.WorkerID) {
	for _, w := range p.waves {
		for _, m := range w.machines {
			if m.worker == id && m.state == evacuating {
				p.recordOrder(w, m)
			}
		}
	}
}

func (p *Planner) recordOrder(w *wave, m *machine) {
	m.state = evacuated
	w.unsaved = true
	m.orderVersion = w.recordVersion + 1
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
			p.emit(Log{Text: "machine maintenance started", Wave: w.Number, Machine: m.id})
			m.state, m.downAt = down, p.now
		case errors.As(ev.Err, &refused) && refused.Reason == infra.MachineFenced:
			p.emit(Resign{Machine: m.id})
		case errors.As(ev.Err, &refused) && (refused.Reason == infra.MachineUnknown || refused.Reason == infra.MachineNotInWave):
			p.emit(Log{Text: "machine skipped, order refused", Wave: w.Number, Machine: m.id, Reason: string(refused.Reason)})
			p.finish(m)
			w.unsaved = true
		default:
			p.emit(Log{Text: "order not confirmed yet", Wave: w.Number, Machine: m.id, Reason: ev.Err.Error()})
		}
	}
}

// advance moves every wave forward as far as its state allows and requests the machine list when it is due.
func (p *Planner) advance() {
	inProgress := false
	for _, w := range p.sortedWaves() {
		inProgress = inProgress || !w.completed
		p.advanceWave(w)
	}
	if inProgress && !p.listing && !p.now.Before(p.nextListAt) {
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
	if w.completed || p.listStartedAt.IsZero() || p.listStartedAt.Before(w.receivedAt) {
		return
	}
	// busy counts the machines of the wave that are down, may be down, or are being evacuated to go down.
	remaining, busy := w.remaining(), p.countDownWithoutOrder(w)
	for _, m := range w.machines {
		if m.state != waiting && m.state != done {
			busy++
		}
		p.followWorker(w, m, remaining)
		if m.state == evacuated && w.savedVersion >= m.orderVersion {
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
		w.unsaved = true
		return
	}
	for _, m := range w.machines {
		entry := p.machinesByID[m.id]
		if m.state != waiting || busy >= w.MaxDown || !entry.Up || p.activeInOtherWave(w, m.id) {
			continue
		}
		busy++
		p.startEvacuation(w, m, entry.Worker, remaining)
	}
	if busy < w.MaxDown {
		p.orderMissing(w, remaining)
	}
}

func (p *Planner) startEvacuation(w *wave, m *machine, worker fleet.WorkerID, remaining int) {
	m.state, m.worker = evacuating, worker
	if m.evacuateBy.IsZero() {
		m.evacuateBy = p.now.Add(w.evacuationTime(remaining, p.now))
		w.unsaved = true
	}
	p.emit(CordonWorker{Worker: worker, Deadline: m.evacuateBy})
}

// followWorker cordons the present worker of a machine that is to go down. An earlier planner, or this one for an earlier life of
// the worker, has cordoned another one, or none that the scheduler still knows of.
func (p *Planner) followWorker(w *wave, m *machine, remaining int) {
	entry := p.machinesByID[m.id]
	if !entry.Up || entry.Worker == "" || entry.Worker == m.worker {
		return
	}
	former := m.worker
	switch m.state {
	case evacuating, evacuated:
		p.startEvacuation(w, m, entry.Worker, remaining)
	case ordered:
		m.worker = entry.Worker
		p.emit(CordonWorker{Worker: m.worker})
	case waiting, down, done:
		return
	}
	if former != "" {
		p.emit(UncordonWorker{Worker: former})
	}
}

// orderMissing prepares the order for one machine that may be gone, while no machine that is listed as up can be started.
// Its worker is evacuated if it is known, because the machine may be there.
func (p *Planner) orderMissing(w *wave, remaining int) {
	for _, m := range w.machines {
		entry := p.machinesByID[m.id]
		if m.state != waiting || !entry.mayBeGone() || p.activeInOtherWave(w, m.id) {
			continue
		}
		if entry.Worker == "" {
			p.recordOrder(w, m)
			return
		}
		p.startEvacuation(w, m, entry.Worker, remaining)
		return
	}
}

// countDownWithoutOrder counts the machines of a wave that are listed as down for maintenance although this planner has
// no outstanding order for them.
func (p *Planner) countDownWithoutOrder(w *wave) int {
	count := 0
	for _, m := range w.machines {
		if (m.state == waiting || m.state == done) && p.machinesByID[m.id].InMaintenance {
			count++
		}
	}
	return count
}

// activeInOtherWave reports whether another wave is evacuating a machine or has it down.
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

// remaining returns the number of machines whose maintenance is not done.
func (w *wave) remaining() int {
	count := 0
	for _, m := range w.machines {
		if m.state != done {
			count++
		}
	}
	return count
}

// evacuationTime returns how long a worker may take to finish or move its tasks so that the wave ends in time.
func (w *wave) evacuationTime(remaining int, now time.Time) time.Duration {
	left := time.Duration(plannedShare*float64(w.Duration)) - now.Sub(w.requestedAt)
	rounds := (remaining + w.MaxDown - 1) / w.MaxDown
	return min(maxEvacuationTime, max(0, left/time.Duration(rounds)-expectedDowntime))
}

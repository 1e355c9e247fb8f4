package leader

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/retry"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/upkeep"
)

const (
	// machineTimeout bounds a call of the machine service, which may be slow.
	machineTimeout = 2 * time.Second
	// planQueue holds the events of several waves.
	planQueue = 256
)

// waves takes machines through their waves of upkeep while a reign lasts.
type waves struct {
	loop     *loop
	machines infra.Machines
	planner  *upkeep.Planner
	events   chan upkeep.Event
	saves    chan upkeep.SaveRecord
	// revisions are those of the records in the store; they belong to the goroutine that saves.
	revisions map[int64]store.Revision
}

func newWaves(l *loop, machines infra.Machines) *waves {
	return &waves{
		loop: l, machines: machines, planner: upkeep.New(), events: make(chan upkeep.Event, planQueue),
		saves: make(chan upkeep.SaveRecord, planQueue), revisions: make(map[int64]store.Revision),
	}
}

func (w *waves) post(ev upkeep.Event) {
	select {
	case w.events <- ev:
	case <-w.loop.gone:
	}
}

// handle runs in the loop's goroutine.
func (w *waves) handle(ctx context.Context, ev upkeep.Event) {
	for _, e := range w.planner.Step(Now(), ev) {
		w.carryOut(ctx, e)
	}
}

func (w *waves) carryOut(ctx context.Context, e upkeep.Effect) {
	l := w.loop
	switch e := e.(type) {
	case upkeep.ListMachines:
		l.effects.Go(func() { w.list(ctx) })
	case upkeep.DrainWorker:
		l.handle(ctx, flow.Cordon{Worker: e.Worker, Deadline: e.Deadline})
	case upkeep.ReinstateWorker:
		l.handle(ctx, flow.Uncordon{Worker: e.Worker})
	case upkeep.SaveRecord:
		select {
		case w.saves <- e:
		case <-ctx.Done():
		}
	case upkeep.OrderMaintenance:
		l.effects.Go(func() { w.order(ctx, e) })
	case upkeep.Resign:
		l.reign.end("a machine knows a newer scheduler")
	case upkeep.Log:
		l.log.Info("upkeep: "+e.Text, "wave", e.Wave, "machine", e.Machine, "reason", e.Reason)
	}
}

func (w *waves) list(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	began := Now()
	machines, err := w.machines.List(callCtx)
	if err != nil {
		w.loop.log.Warn("upkeep: machines not listed", "error", err)
		machines = nil
	}
	w.post(upkeep.MachinesListed{Machines: machines, StartedAt: began})
}

func (w *waves) order(ctx context.Context, e upkeep.OrderMaintenance) {
	l := w.loop
	if !l.reign.LeaseConfirmed() {
		w.post(upkeep.OrderAnswered{Wave: e.Wave, Machine: e.Machine, Err: &infra.MachineError{Machine: e.Machine, Reason: infra.MachineUnavailable}})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	seat := l.reign.seat
	err := w.machines.StartMaintenance(callCtx, e.Machine, e.Wave, infra.LeaseHolder{EntryHost: seat.EntryHost, Token: seat.Token})
	w.post(upkeep.OrderAnswered{Wave: e.Wave, Machine: e.Machine, Err: err})
}

// follow reads the operator's waves and watches for new ones until ctx ends.
func (w *waves) follow(ctx context.Context) {
	l := w.loop
	prefix := l.format.WavesPrefix()
	for ctx.Err() == nil {
		entries, revision, err := readAll(ctx, l.store, prefix)
		if err == nil {
			for _, e := range entries {
				w.wave(ctx, e)
			}
			err = l.store.Watch(ctx, prefix, revision, func(_ store.Revision, changes []store.Change) {
				for _, c := range changes {
					if !c.Deleted {
						w.wave(ctx, c.Entry)
					}
				}
			})
		}
		if ctx.Err() != nil {
			return
		}
		if !historyGone(err) {
			l.log.Warn("upkeep: watch of waves ended", "error", err)
		}
		sleep(ctx, retryLimit)
	}
}

// wave takes up a wave with what is recorded of it; the planner knows each wave once.
func (w *waves) wave(ctx context.Context, e store.Entry) {
	l := w.loop
	wave, err := l.format.Wave(e.Key, e.Value)
	if err != nil {
		l.log.Error("upkeep: unreadable wave", "key", e.Key, "error", err)
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		found, err := l.store.Range(callCtx, store.Get{Key: waveKey(wave.Number)})
		cancel()
		if err != nil {
			l.log.Warn("upkeep: record not read", "wave", wave.Number, "error", err)
			sleep(ctx, retryLimit)
			continue
		}
		var record upkeep.Record
		for _, r := range found.Entries {
			if err := cbor.Unmarshal(r.Value, &record); err != nil {
				l.log.Error("upkeep: unreadable record", "wave", wave.Number, "error", err)
			}
		}
		w.post(upkeep.WaveRequested{Wave: wave, Record: record})
		return
	}
}

// record makes the planner's records durable one after the other until ctx ends.
func (w *waves) record(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-w.saves:
			w.saveOne(ctx, s)
		}
	}
}

// saveOne repeats a record until it is durable. A write without an answer may be carried out after a later one, which the
// condition on the record's own revision prevents.
func (w *waves) saveOne(ctx context.Context, s upkeep.SaveRecord) {
	l := w.loop
	value, err := cbor.Marshal(s.Record)
	if err != nil {
		l.log.Error("upkeep: record not encoded", "wave", s.Wave, "error", err)
		l.reign.end("a record cannot be encoded")
		return
	}
	key := waveKey(s.Wave)
	statusKey, status := l.format.WaveStatus(s.Wave, s.Record.Completed)
	backoff := retry.NewBackoff(retryFirst, retryLimit, rand.New(rand.NewPCG(uint64(s.Wave), uint64(s.Version))))
	for ctx.Err() == nil && l.reign.Valid() {
		txn := store.Txn{
			If:   []store.Compare{store.KeyUnchanged{Key: leaderKey, ModRevision: store.Revision(l.reign.seat.Token)}, w.recordAt(key, s.Wave)},
			Then: []store.Op{store.Put{Key: key, Value: value}, store.Put{Key: statusKey, Value: status}},
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		result, err := l.store.Txn(callCtx, txn)
		cancel()
		switch {
		case err != nil:
			l.log.Warn("upkeep: record not stored yet", "wave", s.Wave, "error", err)
			sleep(ctx, backoff.Next())
		case result.Committed:
			w.revisions[s.Wave] = result.Revision
			w.post(upkeep.RecordSaved{Wave: s.Wave, Version: s.Version})
			return
		case !w.takeRevision(result, key, s.Wave):
			l.reign.end("another scheduler records waves")
			return
		case bytes.Equal(w.found(result, key), value):
			w.post(upkeep.RecordSaved{Wave: s.Wave, Version: s.Version})
			return
		}
	}
}

func (w *waves) recordAt(key string, wave int64) store.Compare {
	if w.revisions[wave] == 0 {
		return store.KeyAbsent{Key: key}
	}
	return store.KeyUnchanged{Key: key, ModRevision: w.revisions[wave]}
}

// takeRevision takes up the revision of the stored record, and reports whether this scheduler still reigns.
func (w *waves) takeRevision(result store.TxnResult, key string, wave int64) bool {
	reigns := false
	for _, read := range result.Reads {
		for _, e := range read {
			switch e.Key {
			case key:
				w.revisions[wave] = e.ModRevision
			case leaderKey:
				reigns = e.ModRevision == store.Revision(w.loop.reign.seat.Token)
			}
		}
	}
	return reigns
}

func (w *waves) found(result store.TxnResult, key string) []byte {
	for _, read := range result.Reads {
		for _, e := range read {
			if e.Key == key {
				return e.Value
			}
		}
	}
	return nil
}

// waveKey is where the progress of a wave is stored.
func waveKey(number int64) string { return wavePrefix + strconv.FormatInt(number, 10) }

// vacated passes on that a worker may be taken down.
func (w *waves) vacated(ctx context.Context, id fleet.WorkerID) {
	w.handle(ctx, upkeep.WorkerDrained{Worker: id})
}

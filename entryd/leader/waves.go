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
	// machineTimeout bounds an order to the machine service, which may be slow.
	machineTimeout = 2 * time.Second
	// plannerQueueSize is enough for the events of several waves.
	plannerQueueSize = 256
)

// waveRunner carries out maintenance waves during one leadership: it runs the planner and performs its effects.
type waveRunner struct {
	loop     *loop
	machines infra.Machines
	planner  *upkeep.Planner
	events   chan upkeep.Event
	saves    chan upkeep.SaveRecord
	// revisions holds the revision of each wave's stored record. Only the goroutine of saveLoop uses it.
	revisions map[int64]store.Revision
}

func newWaveRunner(l *loop, machines infra.Machines) *waveRunner {
	return &waveRunner{
		loop: l, machines: machines, planner: upkeep.New(), events: make(chan upkeep.Event, plannerQueueSize),
		saves: make(chan upkeep.SaveRecord, plannerQueueSize), revisions: make(map[int64]store.Revision),
	}
}

func (w *waveRunner) post(ev upkeep.Event) {
	select {
	case w.events <- ev:
	case <-w.loop.stopped:
	}
}

// handle passes an event to the planner. It must be called from the loop's goroutine.
func (w *waveRunner) handle(ctx context.Context, ev upkeep.Event) {
	for _, e := range w.planner.Step(Now(), ev) {
		w.perform(ctx, e)
	}
}

func (w *waveRunner) perform(ctx context.Context, e upkeep.Effect) {
	l := w.loop
	switch e := e.(type) {
	case upkeep.ListMachines:
		l.effects.Go(func() { w.listMachines(ctx) })
	case upkeep.CordonWorker:
		l.handle(ctx, flow.Cordon{Worker: e.Worker, Deadline: e.Deadline})
	case upkeep.UncordonWorker:
		l.handle(ctx, flow.Uncordon{Worker: e.Worker})
	case upkeep.SaveRecord:
		select {
		case w.saves <- e:
		case <-ctx.Done():
		}
	case upkeep.OrderMaintenance:
		l.effects.Go(func() { w.sendOrder(ctx, e) })
	case upkeep.Resign:
		l.leadership.end("a machine has orders of a newer scheduler")
	case upkeep.Log:
		l.log.Info("upkeep: "+e.Text, "wave", e.Wave, "machine", e.Machine, "reason", e.Reason)
	}
}

func (w *waveRunner) listMachines(ctx context.Context) {
	began := Now()
	machines, err := w.machines.List(ctx)
	if err != nil {
		w.loop.log.Warn("upkeep: listing machines failed", "error", err)
		machines = nil
	}
	w.post(upkeep.MachinesListed{Machines: machines, StartedAt: began})
}

func (w *waveRunner) sendOrder(ctx context.Context, e upkeep.OrderMaintenance) {
	l := w.loop
	if !l.leadership.LeaseConfirmed() {
		w.post(upkeep.OrderAnswered{Wave: e.Wave, Machine: e.Machine, Err: &infra.MachineError{Machine: e.Machine, Reason: infra.MachineUnavailable}})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	leader := l.leadership.leader
	err := w.machines.StartMaintenance(callCtx, e.Machine, e.Wave, infra.LeaseHolder{EntryHost: leader.EntryHost, Token: leader.Token})
	w.post(upkeep.OrderAnswered{Wave: e.Wave, Machine: e.Machine, Err: err})
}

// watch reads the operator's waves and watches for new ones until ctx ends.
func (w *waveRunner) watch(ctx context.Context) {
	l := w.loop
	prefix := l.format.WavesPrefix()
	for ctx.Err() == nil {
		entries, revision, err := readAll(ctx, l.store, prefix)
		if err == nil {
			for _, e := range entries {
				w.postWave(ctx, e)
			}
			err = l.store.Watch(ctx, prefix, revision, func(_ store.Revision, changes []store.Change) {
				for _, c := range changes {
					if !c.Deleted {
						w.postWave(ctx, c.Entry)
					}
				}
			})
		}
		if ctx.Err() != nil {
			return
		}
		if !isCompacted(err) {
			l.log.Warn("upkeep: watch of waves ended", "error", err)
		}
		sleep(ctx, retryMaxDelay)
	}
}

// postWave posts a wave with its stored record. It may be called more than once for a wave: the planner ignores a
// wave that it already has.
func (w *waveRunner) postWave(ctx context.Context, e store.Entry) {
	l := w.loop
	wave, err := l.format.Wave(e.Key, e.Value)
	if err != nil {
		l.log.Error("upkeep: cannot decode wave", "key", e.Key, "error", err)
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		found, err := l.store.Range(callCtx, store.Get{Key: waveKey(wave.Number)})
		cancel()
		if err != nil {
			l.log.Warn("upkeep: reading the record failed", "wave", wave.Number, "error", err)
			sleep(ctx, retryMaxDelay)
			continue
		}
		var record upkeep.Record
		for _, r := range found.Entries {
			if err := cbor.Unmarshal(r.Value, &record); err != nil {
				l.log.Error("upkeep: cannot decode record", "wave", wave.Number, "error", err)
			}
		}
		w.post(upkeep.WaveRequested{Wave: wave, Record: record, Wall: time.Now()})
		return
	}
}

// saveLoop saves the planner's records one after the other until ctx ends.
func (w *waveRunner) saveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-w.saves:
			w.save(ctx, s)
		}
	}
}

// save writes a record and the wave's status for the operator, and repeats the write until it is durable. A write
// without an answer could take effect after a later one; the condition on the record's revision prevents that.
func (w *waveRunner) save(ctx context.Context, s upkeep.SaveRecord) {
	l := w.loop
	value, err := cbor.Marshal(s.Record)
	if err != nil {
		l.log.Error("upkeep: cannot encode record", "wave", s.Wave, "error", err)
		l.leadership.end("a record cannot be encoded")
		return
	}
	key := waveKey(s.Wave)
	statusKey, status := l.format.WaveStatus(s.Wave, s.Record.Completed)
	backoff := retry.NewBackoff(retryMinDelay, retryMaxDelay, rand.New(rand.NewPCG(uint64(s.Wave), uint64(s.Version))))
	for ctx.Err() == nil {
		txn := store.Txn{
			If:   []store.Compare{store.KeyUnchanged{Key: leaderKey, ModRevision: store.Revision(l.leadership.leader.Token)}, w.recordCondition(key, s.Wave)},
			Then: []store.Op{store.Put{Key: key, Value: value}, store.Put{Key: statusKey, Value: status}},
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		result, err := l.store.Txn(callCtx, txn)
		cancel()
		switch {
		case store.IsPermanent(err):
			l.log.Error("upkeep: storing the record failed for good", "wave", s.Wave, "error", err, "bytes", len(value))
			return
		case err != nil:
			l.log.Warn("upkeep: storing the record failed, will retry", "wave", s.Wave, "error", err)
			sleep(ctx, backoff.Next())
		case result.Committed:
			w.revisions[s.Wave] = result.Revision
			w.post(upkeep.RecordSaved{Wave: s.Wave, Version: s.Version})
			return
		case !w.updateRevision(result, key, s.Wave):
			l.leadership.end("another scheduler has stored wave records")
			return
		case bytes.Equal(w.storedValue(result, key), value):
			w.post(upkeep.RecordSaved{Wave: s.Wave, Version: s.Version})
			return
		}
	}
}

func (w *waveRunner) recordCondition(key string, wave int64) store.Compare {
	if w.revisions[wave] == 0 {
		return store.KeyAbsent{Key: key}
	}
	return store.KeyUnchanged{Key: key, ModRevision: w.revisions[wave]}
}

// updateRevision records the revision of the stored record from a failed transaction, and reports whether this process
// is still the leader.
func (w *waveRunner) updateRevision(result store.TxnResult, key string, wave int64) bool {
	isLeader := false
	for _, read := range result.Reads {
		for _, e := range read {
			switch e.Key {
			case key:
				w.revisions[wave] = e.ModRevision
			case leaderKey:
				isLeader = e.ModRevision == store.Revision(w.loop.leadership.leader.Token)
			}
		}
	}
	return isLeader
}

func (w *waveRunner) storedValue(result store.TxnResult, key string) []byte {
	for _, read := range result.Reads {
		for _, e := range read {
			if e.Key == key {
				return e.Value
			}
		}
	}
	return nil
}

// waveKey returns the key of a wave's progress.
func waveKey(number int64) string { return wavePrefix + strconv.FormatInt(number, 10) }

// workerEvacuated passes to the planner that the machine of a worker may be taken down.
func (w *waveRunner) workerEvacuated(ctx context.Context, id fleet.WorkerID) {
	w.handle(ctx, upkeep.WorkerEvacuated{Worker: id})
}

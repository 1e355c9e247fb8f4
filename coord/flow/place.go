package flow

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// maxUnanswered bounds the starts without an answer. At 750 starts a second it lets an answer take 170 ms, so that a
	// process that falls behind sends fewer starts instead of starts that come too late.
	maxUnanswered = 128
	// remotePatience is the share of a step's estimate that a task waits for a worker near its data.
	remotePatience = 0.5
)

// place starts waiting tasks in the order of their rank.
func (m *Machine) place() {
	m.placeNext = false
	if !m.restored || m.catalog == nil {
		return
	}
	m.rankReady()
	m.misfits = m.misfits[:0]
	clear(m.candidates)
	for _, r := range m.ranked {
		switch {
		case m.unanswered >= maxUnanswered:
			return
		case r.gone || !r.occ.job.fresh && len(m.unsettled) > 0:
		case r.step.spec.Gang:
			m.placeGang(r)
		default:
			m.placeStep(r)
		}
	}
}

// usable lists the workers of a service that may take new tasks in this round.
func (m *Machine) usable(service string) []*worker {
	if found, known := m.candidates[service]; known {
		return found
	}
	var found []*worker
	for _, w := range m.order {
		if w.Service == service && w.usable(m.now) {
			found = append(found, w)
		}
	}
	m.candidates[service] = found
	return found
}

// misfit is a plain task that no worker could take in this round.
type misfit struct {
	service string
	image   string
	filler  bool
	size    fleet.Resources
}

// hopeless reports whether a step asks for at least as much as one that no worker could take in this round.
func (m *Machine) hopeless(r *readyStep) bool {
	for _, f := range m.misfits {
		if f.service == r.queue.Service && f.filler == r.step.spec.Filler && (!f.filler || f.image == r.step.spec.Image) &&
			f.size.Fits(r.step.spec.Size) {
			return true
		}
	}
	return false
}

// addMisfit remembers a task that no worker could take, in place of those that ask for at least as much.
func (m *Machine) addMisfit(f misfit) {
	m.misfits = slices.DeleteFunc(m.misfits, func(o misfit) bool {
		return o.service == f.service && o.filler == f.filler && o.image == f.image && f.size.Fits(o.size)
	})
	m.misfits = append(m.misfits, f)
}

// isPlain reports whether only its size decides where a task of the step fits.
func isPlain(s *infra.Step) bool { return s.Label == "" && s.DataRack == "" && s.MaxPerWorker == 0 }

func (m *Machine) placeStep(r *readyStep) {
	s := r.step
	if r.queue.ApprovalCost == nil && m.hopeless(r) {
		return
	}
	for i := s.next; i < len(s.tasks) && s.waiting > 0; i++ {
		t := &s.tasks[i]
		if t.phase != waiting {
			if i == s.next {
				s.next++
			}
			continue
		}
		if len(t.failed) > 0 && m.checkAttempts(r.occ.job, t, r.task(i)) {
			return
		}
		w := m.pick(r, t)
		if w == nil {
			if r.queue.ApprovalCost != nil {
				m.ask(r)
			} else if isPlain(&s.spec) {
				m.addMisfit(misfit{r.queue.Service, s.spec.Image, s.spec.Filler, s.spec.Size})
			}
			break
		}
		m.start(r, i, w, t.lastRun+1)
		if m.unanswered >= maxUnanswered {
			break
		}
	}
	if s.waiting == 0 {
		m.unready(s)
	}
}

// placeGang starts all tasks of a gang with one run number, or none.
func (m *Machine) placeGang(r *readyStep) {
	s := r.step
	if s.waiting < len(s.tasks) {
		return
	}
	number := infra.Run(0)
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun)
	}
	number++
	saved := ""
	for i := range s.tasks {
		if s.tasks[i].saved != "" {
			saved = s.tasks[i].saved
		}
	}
	racks := []string{""}
	if s.spec.SameRack {
		racks = append(m.racks(), "")
	}
	for _, rack := range racks {
		chosen := m.pickGang(r, rack)
		if chosen == nil {
			continue
		}
		for i, w := range chosen {
			s.tasks[i].saved = saved
			m.start(r, i, w, number)
		}
		m.unready(s)
		return
	}
	if r.queue.ApprovalCost != nil {
		m.ask(r)
	}
}

func (m *Machine) racks() []string {
	var racks []string
	for _, w := range m.order {
		if rack := w.rack(); rack != "" && !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	return racks
}

// pickGang returns a worker for each task of a gang, all in a rack unless it is empty, or nil.
func (m *Machine) pickGang(r *readyStep, rack string) []*worker {
	s := r.step
	chosen := make([]*worker, 0, len(s.tasks))
	size := s.spec.Reserved()
	for range s.tasks {
		w := m.best(r, nil, rack)
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		w.used = w.used.Add(size)
		if s.perWorker != nil {
			s.perWorker[w.ID]++
		}
	}
	for _, w := range chosen {
		w.used = w.used.Sub(size)
		if s.perWorker != nil {
			s.perWorker[w.ID]--
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}

// pick returns the worker for a task, or nil.
func (m *Machine) pick(r *readyStep, t *task) *worker {
	rack := r.step.spec.DataRack
	if rack != "" {
		if w := m.best(r, t, rack); w != nil {
			return w
		}
		patience := time.Duration(float64(r.step.spec.Estimate) * remotePatience)
		if m.now.Sub(r.since) < patience {
			return nil
		}
	}
	return m.best(r, t, "")
}

// best returns the worker with the highest score among those that can take a task, in a rack unless it is empty.
func (m *Machine) best(r *readyStep, t *task, rack string) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range m.usable(r.queue.Service) {
		if !m.fits(r, w, rack) {
			continue
		}
		score := m.score(r, w)
		if t != nil && t.avoid == w.ID {
			score -= avoidPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (m *Machine) fits(r *readyStep, w *worker, rack string) bool {
	if rack != "" && !w.hasLabel(rack) {
		return false
	}
	if r.queue.ApprovalCost != nil {
		if _, approved := m.ticketFor(r.step, w); !approved {
			return false
		}
	}
	return m.fitsSize(r, w)
}

// fitsSize reports whether a worker could run a task of a step, whatever the policy of its queue says.
func (m *Machine) fitsSize(r *readyStep, w *worker) bool {
	spec := &r.step.spec
	if !spec.Reserved().Fits(w.free()) {
		return false
	}
	if w.isSlow(spec) {
		return false
	}
	if spec.Filler && (w.spare() < spec.Size.MilliCPU || !m.tolerates(w, spec)) {
		return false
	}
	if spec.Label != "" && !w.hasLabel(spec.Label) {
		return false
	}
	if spec.MaxPerWorker > 0 && r.step.perWorker[w.ID] >= spec.MaxPerWorker {
		return false
	}
	return true
}

// servingUse is the part of their reserved processor time that serving tasks use on average; the rest is left to fillers.
const servingUse = 0.5

// spare is the processor time that neither the other tasks nor the fillers of a worker use.
func (w *worker) spare() int64 {
	return w.Capacity.MilliCPU - w.used.MilliCPU + int64((1-servingUse)*float64(w.reserves)) - w.filler
}

// avoidPenalty outweighs every difference in load, so that a failed task tries another worker first.
const avoidPenalty = 10

const (
	// companyBonus packs serving tasks of one image together, because each filler image disturbs some images and not others.
	// It and emptyBonus outweigh how well a task fits, which is at most 2.
	companyBonus = 6
	// emptyBonus prefers a worker without serving tasks to one with tasks of another image.
	emptyBonus = 3
	// contrastPenalty prefers, among workers with other images, those that the same fillers disturb.
	contrastPenalty = 0.3
	// pressPenalty keeps serving tasks from workers whose fillers would push them over their target.
	pressPenalty = 2
	// speedWeight prefers workers where tasks progress as expected.
	speedWeight = 2
)

// score is higher for a worker where a task progresses faster and disturbs others less.
func (m *Machine) score(r *readyStep, w *worker) float64 {
	score := (w.speed-1)*speedWeight + float64(w.spare())/float64(max(1, w.Capacity.MilliCPU))
	spec := &r.step.spec
	switch {
	case serves(spec):
		free := w.share(w.free().MilliCPU)
		return score - 2*free + m.company(w, spec.Image) - pressPenalty*max(0, m.excess(w, spec))
	case spec.Filler:
		return score - m.strain(w, spec)
	default:
		return score
	}
}

// company is higher for a worker whose serving tasks the same fillers disturb as the image.
func (m *Machine) company(w *worker, image string) float64 {
	if len(w.images) == 0 {
		return emptyBonus
	}
	contrast := 0.0
	for other := range w.images {
		if other != image {
			contrast += 1 + m.victim(image).contrast(m.victim(other))
		}
	}
	if w.images[image] > 0 {
		return companyBonus - contrastPenalty*contrast
	}
	return -contrastPenalty * contrast
}

func (m *Machine) start(r *readyStep, index int, w *worker, number infra.Run) {
	s := r.step
	t := &s.tasks[index]
	id := r.task(index)
	n := &run{
		id: id, number: number, worker: w, step: s, occ: r.occ, state: starting, size: s.spec.Reserved(),
		since: m.now, markAt: m.now, pace: fullPace, atypical: t.saved != "",
	}
	if s.spec.Filler {
		n.filler = s.spec.Size.MilliCPU
	}
	n.deadline = w.estimate(m.now) + startWindow.Milliseconds()
	w.leaseEnd = max(w.leaseEnd, n.deadline)
	t.lastRun = number
	t.runs = append(t.runs, n)
	w.add(m.now, n)
	if s.perWorker != nil {
		s.perWorker[w.ID]++
	}
	s.setPhase(index, active)
	r.occ.job.begun = true
	m.unanswered++
	m.counts.Starts++
	m.emit(Log{
		Text: "start", Task: id, Run: number, Worker: w.ID, Reason: r.queue.Name, Slack: r.rank.slack,
		ReportAge: m.now.Sub(w.clockAt),
	})
	ticket, _ := m.ticketFor(s, w)
	m.emit(Start{To: w.address(), Order: infra.StartOrder{
		Task: id, Run: number, Ticket: ticket, Spec: r.occ.job.spec.Spec, Checkpoint: t.saved, Deadline: n.deadline, Token: m.token,
	}})
}

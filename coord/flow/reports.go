package flow

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// reportOverhead is the size of a report without rows, with headers and packets, and reportRowBytes that of a row, in bytes.
	reportOverhead = 400
	reportRowBytes = 70
	// initialReportBytes is the expected size of a report before the first one.
	initialReportBytes = 2 << 10
	// reportSmoothing is the weight of a report in the expected size of the next ones.
	reportSmoothing = 0.2
)

// reportRequests bounds the reports on their way by what the link of this host takes in. Only those count that workers send at once,
// which all do after a change of the scheduler: beside more of them than that no other answer arrives in time.
type reportRequests struct {
	window[fleet.WorkerID]
	expectedBytes float64
}

func newReportRequests(bitsPerSecond int64) reportRequests {
	return reportRequests{window: newWindow[fleet.WorkerID](bitsPerSecond), expectedBytes: initialReportBytes}
}

// sent notes a renewal.
func (r *reportRequests) sent(now time.Time, w *worker, order infra.RenewOrder) {
	if order.Wait == 0 {
		r.add(now, w.ID, int64(r.expectedBytes))
	}
}

// answered notes the report that answers a renewal.
func (r *reportRequests) answered(w *worker, order infra.RenewOrder, report infra.Report) {
	r.settle(w.ID, true)
	if order.Wait == 0 {
		size := float64(reportOverhead + reportRowBytes*(len(report.Running)+len(report.Ended)))
		r.expectedBytes += reportSmoothing * (size - r.expectedBytes)
	}
}

// sendDueRenewals sends the renewals that are due, as far as the link takes in their reports. The workers that have waited longest come
// first, so that each has its turn before its lease ends.
func (m *Machine) sendDueRenewals() {
	var due []*worker
	for _, w := range m.workersByID {
		if m.isRenewalDue(w) {
			due = append(due, w)
		}
	}
	m.reports.expire(m.now)
	if m.reports.limit > 0 {
		slices.SortStableFunc(due, func(a, b *worker) int { return a.renewalSentAt.Compare(b.renewalSentAt) })
	}
	for _, w := range due {
		if !m.reports.hasRoom(int64(m.reports.expectedBytes)) {
			return
		}
		m.sendRenewal(w)
	}
}

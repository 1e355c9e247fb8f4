package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanGap is the mean time between the beginnings of two faults. Faults last for several seconds, so that they overlap.
	meanGap = 2 * time.Second
	// firstFault is the time without faults at the beginning.
	firstFault = 2 * time.Second
	// seriesChance is the chance that a fault is followed by more of its kind at once.
	seriesChance = 0.3
)

// The sizes of drawn plans. Wide jobs have short tasks, so that the workers can carry them.
const (
	minJobsPerWorker = 0.12
	maxJobsPerWorker = 0.3
	maxJobsPerSecond = 40
	wideChance       = 0.4
	minWide          = 10
	maxWide          = 20
	wideWorkMS       = 900
)

// amongChance is the chance that a fault of workers meets those that another fault disturbs, if there are any.
const amongChance = 0.5

// maxKinds limits the kinds of faults in one plan, so that each combination of a few kinds is played at many moments.
const maxKinds = 6

// The incidents in which workers are lost and schedulers soon afterwards. Plans that have them have long-running jobs.
const (
	incidentChance  = 0.4
	maxLossGapMS    = 1500
	minTermMS       = 2500
	maxTermMS       = 6000
	maxSchedulers   = 4
	restartedChance = 0.4
	unreplacedShare = 0.25
	// calmAfter is the time after an incident in which tasks of lost workers run again.
	calmAfter = 12 * time.Second
)

// The restarts in which workers return under their IDs and are cut off soon after. Each meets other workers.
const (
	returnsChance    = 0.3
	returnsStream    = 4
	maxFirstReturnMS = 4000
	lateChance       = 0.6
	lateLeadMS       = 2000
	maxLateMS        = 12000
	darkChance       = 0.7
	anewChance       = 0.3
	killChance       = 0.3
	maxDownMS        = 1500
	maxUpMS          = 1500
	minCutMS         = 4000
	maxCutMS         = 9000
	returnsPauseMS   = 3000
)

// The links of drawn plans. A start carries the spec of its job and about as much again in headers and answers.
const (
	linksChance     = 0.35
	linksStream     = 1
	drawnSpecBytes  = 2400
	bytesPerStart   = 2 * drawnSpecBytes
	meanJobTasks    = 4.5
	minLinkShare    = 0.5
	maxLinkShare    = 3
	minLinkMbps     = 1
	largeLinkMbps   = 200
	largeMilliCPU   = 800
	smallMilliCPU   = 192
	largeHostsShare = 0.2
)

// Draw returns the plan of a seed with some hosts and workers and a time of load.
func Draw(seed uint64, hosts, workers int, load time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := slices.Clone(Kinds)
	random.Shuffle(len(kinds), func(i, k int) { kinds[i], kinds[k] = kinds[k], kinds[i] })
	kinds = kinds[:2+random.IntN(maxKinds-1)]
	p := Plan{
		Name: fmt.Sprintf("seed-%d", seed), Seed: seed, Hosts: hosts, Workers: workers, LoadMS: load.Milliseconds(),
		JobsPerSecond: min(maxJobsPerSecond, float64(workers)*(minJobsPerWorker+(maxJobsPerWorker-minJobsPerWorker)*random.Float64())),
		ConfigEveryMS: 7000,
	}
	if random.Float64() < wideChance {
		p.MinTasks, p.MaxTasks, p.MaxWorkMS = minWide, maxWide, wideWorkMS
	}
	if random.IntN(3) == 0 {
		p.ReportMS = 1 + random.Int64N(5)
	}
	at := firstFault
	if random.Float64() < incidentChance {
		p.LastingJobs = 2 + random.IntN(4)
		p.Faults = drawIncident(random, at, workers)
		at = time.Duration(p.Faults[len(p.Faults)-1].AtMS)*time.Millisecond + calmAfter
	}
	for at < load {
		f := drawFault(random, kinds[random.IntN(len(kinds))], hosts, workers)
		repeats := 1
		if random.Float64() < seriesChance {
			repeats += 1 + random.IntN(3)
		}
		for range repeats {
			f.AtMS = at.Milliseconds()
			f.Among = drawAmong(random, p.Faults, f)
			p.Faults = append(p.Faults, f)
			at += time.Duration(random.ExpFloat64() * float64(meanGap) / float64(repeats))
		}
	}
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.AtMS >= p.LoadMS })
	p = drawLinks(rand.New(rand.NewPCG(seed, linksStream)), p)
	return drawReturns(rand.New(rand.NewPCG(seed, returnsStream)), p)
}

// drawReturns adds restarts of workers to some plans.
func drawReturns(random *rand.Rand, p Plan) Plan {
	if random.Float64() >= returnsChance {
		return p
	}
	p.LastingJobs = max(2, p.LastingJobs)
	atMS := firstFault.Milliseconds() + lateLeadMS + random.Int64N(maxFirstReturnMS)
	for atMS < p.LoadMS {
		faults := drawReturn(random, atMS, p.Workers)
		p.Faults = append(p.Faults, faults...)
		last := faults[len(faults)-1]
		atMS = last.AtMS + last.ForMS + returnsPauseMS + random.Int64N(returnsPauseMS)
	}
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.AtMS >= p.LoadMS })
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return p
}

// drawReturn returns a restart of some workers, once or twice, whose last fault cuts them off. Some are beside late orders, or a
// scheduler that is killed.
func drawReturn(random *rand.Rand, atMS int64, workers int) (faults []Fault) {
	if random.Float64() < lateChance {
		faults = append(faults, Fault{
			Kind: WorkersLate, AtMS: atMS - lateLeadMS, ForMS: 2 * lateLeadMS, Count: workers, Share: 0.1 + 0.3*random.Float64(),
			DelayMS: lateLeadMS, MaxDelayMS: maxLateMS,
		})
	}
	f := Fault{Kind: WorkerCrash, Count: 1 + random.IntN(max(1, workers/3)), Silent: random.Float64() < darkChance}
	for range 2 {
		f.AtMS, f.ForMS = atMS, 200+random.Int64N(maxDownMS)
		faults = append(faults, f)
		atMS += f.ForMS + random.Int64N(maxUpMS)
		if random.Float64() >= anewChance {
			break
		}
		f.Among = WorkerCrash
	}
	if random.Float64() < killChance {
		faults = append(faults, Fault{Kind: HostKill, AtMS: max(0, atMS-random.Int64N(maxUpMS)), Count: 1, OnLeader: true})
	}
	return append(faults, Fault{
		Kind: WorkersSilent, AtMS: atMS, ForMS: minCutMS + random.Int64N(maxCutMS-minCutMS), Count: f.Count, Among: WorkerCrash, CutsStore: true,
	})
}

// drawLinks gives the hosts of some plans links with a bandwidth, from half of what all starts need on. If there are several
// hosts, some of them may be larger.
func drawLinks(random *rand.Rand, p Plan) Plan {
	if random.Float64() >= linksChance {
		return p
	}
	tasks := meanJobTasks
	if p.MaxTasks > 0 {
		tasks = float64(p.MinTasks+p.MaxTasks) / 2
	}
	need := p.JobsPerSecond * tasks * bytesPerStart * 8 / 1e6
	small := HostGroup{Count: p.Hosts, MilliCPU: smallMilliCPU, LinkMbps: max(minLinkMbps, need*(minLinkShare+(maxLinkShare-minLinkShare)*random.Float64()))}
	p.SpecBytes = drawnSpecBytes
	if large := max(1, int(largeHostsShare*float64(p.Hosts))); large < p.Hosts && random.IntN(3) > 0 {
		small.Count -= large
		p.HostGroups = append(p.HostGroups, HostGroup{Count: large, LinkMbps: largeLinkMbps, MilliCPU: largeMilliCPU})
	}
	p.HostGroups = append(p.HostGroups, small)
	return p
}

// drawIncident returns the loss of workers and that of one or several schedulers in turn, some of which come back.
func drawIncident(random *rand.Rand, at time.Duration, workers int) []Fault {
	atMS := at.Milliseconds()
	faults := []Fault{{Kind: WorkerLoss, AtMS: atMS, Count: 1 + random.IntN(max(1, workers/4))}}
	atMS += random.Int64N(maxLossGapMS)
	for range 1 + random.IntN(maxSchedulers) {
		f := drawLoss(random)
		if random.Float64() < restartedChance {
			f = Fault{Kind: HostKill, Count: 1}
		}
		f.AtMS, f.OnLeader = atMS, true
		faults = append(faults, f)
		atMS += minTermMS + random.Int64N(maxTermMS-minTermMS)
	}
	return faults
}

// drawLoss returns the loss of a host without its time.
func drawLoss(random *rand.Rand) Fault {
	f := Fault{Kind: HostLoss, Count: 1, ForMS: 500 + random.Int64N(2500)}
	if random.Float64() < unreplacedShare {
		f.ForMS = 0
	}
	return f
}

// drawAmong returns the kind of a former fault of workers that lasts when a fault begins, or none.
func drawAmong(random *rand.Rand, former []Fault, f Fault) Kind {
	var lasting []Kind
	for _, other := range former {
		isLasting := other.Kind.DisturbsWorkers() && other.AtMS+other.ForMS > f.AtMS
		if isLasting && canMeet(f.Kind, other.Kind) && !slices.Contains(lasting, other.Kind) {
			lasting = append(lasting, other.Kind)
		}
	}
	if !f.Kind.DisturbsWorkers() || len(lasting) == 0 || random.Float64() >= amongChance {
		return ""
	}
	return lasting[random.IntN(len(lasting))]
}

// canMeet reports whether a fault of a kind can disturb a worker that is disturbed by another: one that has crashed does not
// crash or drain, and one that drains is not told so again.
func canMeet(kind, other Kind) bool {
	switch kind {
	case WorkerCrash, WorkerLoss:
		return other != WorkerCrash
	case WorkerDrain:
		return other != WorkerCrash && other != WorkerDrain
	}
	return true
}

// drawFault returns a fault of a kind without its time.
func drawFault(random *rand.Rand, kind Kind, hosts, workers int) Fault {
	f := Fault{Kind: kind}
	if kind == HostLoss {
		f = drawLoss(random)
	}
	switch kind {
	case HostKill, HostStop, HostPause, HostReload, HostLoss, HostDark, StoreExcludes:
		f.OnLeader = random.IntN(2) == 0
	}
	between := func(low, high int64) int64 { return low + random.Int64N(high-low+1) }
	someWorkers := 1 + random.IntN(max(1, workers/5))
	switch f.Kind {
	case HostKill, HostReload:
		f.Count = 1 + random.IntN(hosts)
		if kind == HostKill && random.IntN(3) == 0 {
			f.Count, f.ForMS = hosts, between(1000, 7000)
		}
	case HostDark:
		f.Count, f.ForMS = 1+random.IntN(max(1, hosts/2)), between(500, 6000)
	case HostStop:
		f.Count = 1
	case HostPause:
		f.Count, f.ForMS = 1, between(500, 9000)
	case StoreDown:
		f.ForMS, f.PausesLeases = between(500, 8000), random.IntN(2) == 0
	case StoreSlow:
		f.ForMS, f.DelayMS = between(2000, 8000), between(50, 400)
	case StoreLost:
		f.ForMS, f.Share = between(2000, 8000), 0.1+0.4*random.Float64()
	case StoreLate:
		f.ForMS, f.Share, f.DelayMS = between(2000, 8000), 0.1+0.3*random.Float64(), between(500, 4000)
	case StoreWatchLag:
		f.ForMS, f.DelayMS = between(2000, 8000), between(200, 4000)
	case StoreExcludes:
		f.Count, f.ForMS, f.Silent = 1+random.IntN(max(1, hosts-1)), between(2000, 9000), random.IntN(2) == 0
	case WorkersRefuse, WorkersReset, WorkersSilent, WorkersOneWay:
		f.Count, f.ForMS, f.CutsStore = someWorkers, between(500, 9000), random.IntN(2) == 0
	case WorkersDelay:
		f.Count, f.ForMS, f.DelayMS = someWorkers, between(2000, 8000), between(20, 600)
	case WorkersLate:
		f.Count, f.ForMS, f.DelayMS = someWorkers, between(2000, 8000), between(500, 12000)
		f.Share = 0.2 + 0.6*random.Float64()
	case WorkerCrash:
		f.Count, f.ForMS, f.NewID = someWorkers, between(500, 8000), random.IntN(2) == 0
	case WorkerLoss:
		f.Count = 1 + random.IntN(max(1, workers/8))
	case WorkerDrain:
		f.Count, f.ForMS = someWorkers, between(3000, 8000)
	}
	return f
}

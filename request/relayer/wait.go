package relayer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// roomPoll is how often room is looked for while generations wait: short
	// beside the tenth of a second that an engine takes to read a prompt.
	roomPoll = 10 * time.Millisecond
	// tokenTime is how long an engine takes for a token of a generation at
	// most, for what can no longer end in time: the objective between tokens.
	tokenTime = 20 * time.Millisecond
)

// placement is what a generation that waited gets: a target, or a refusal.
type placement struct {
	target      *registrar.Target
	reservation *placer.Reservation
	refusal     *bluebelldoor.Refusal
}

// waiter is a generation in the line, and where its placement goes.
type waiter struct {
	job    *job
	placed chan placement
	// lacks is what the targets lacked when it was last offered to them.
	lacks placer.Room
}

// waits reports whether the request takes its place in the line: a generation
// that no target has been asked for yet. Others go on at once.
func (j *job) waits() bool {
	return j.service.Engine != nil && j.route.Generates && j.runs == 0 && j.unrun == 0 && j.unsends == 0
}

// long reports whether the generation holds its memory for seconds.
func (j *job) long() bool { return j.expected() >= placer.LongTokens }

// wait puts the generation in the line and returns what it gets.
func (j *job) wait() (*registrar.Target, *placer.Reservation, *bluebelldoor.Refusal) {
	w := j.enter()
	j.admitWaiting()
	select {
	case p := <-w.Value.placed:
		return p.target, p.reservation, p.refusal
	default:
	}
	j.awaitRoom()
	select {
	case p := <-w.Value.placed:
		j.Metrics.Waited(j.priority, j.clock.Now()-j.arrived)
		return p.target, p.reservation, p.refusal
	case <-j.ctx.Done():
		return j.leaveLine(w)
	}
}

// enter puts the generation in the line of its service.
func (j *job) enter() *placer.Waiting[*waiter] {
	w := &placer.Waiting[*waiter]{
		Value:    &waiter{job: j, placed: make(chan placement, 1)},
		Priority: j.priority,
		Turn:     j.firstArrived(),
		Long:     j.long(),
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	w.Latest = j.latest()
	w.InTime = w.Latest
	if objective := j.route.Objective; objective > 0 {
		w.InTime = w.Turn + placer.InTime(objective, j.request.PromptTokens)
	}
	if !w.Long {
		j.shortsOf(j.name).Came(j.priority, j.arrived)
	}
	line := j.lines[j.name]
	if line == nil {
		line = &placer.Line[*waiter]{}
		j.lines[j.name] = line
	}
	line.Add(w)
	return w
}

// shortsOf returns what is known of a service's short generations. It needs the
// lock.
func (r *Relayer) shortsOf(service string) *placer.Shorts {
	s := r.shorts[service]
	if s == nil {
		s = &placer.Shorts{}
		r.shorts[service] = s
	}
	return s
}

// firstArrived returns when the caller first asked: one that comes back has
// less time than the route gives, and keeps its place among those that wait.
func (j *job) firstArrived() time.Duration {
	if used := j.route.Timeout - j.request.Within; j.request.Within > 0 && used > 0 {
		return j.arrived - used
	}
	return j.arrived
}

// latest returns until when the generation waits for room: as long as it can
// begin within its objective, counted anew for a caller that has come back, and
// end in its time.
func (j *job) latest() time.Duration {
	latest := j.arrived + forgetAfter
	if j.deadline > 0 {
		latest = j.deadline - time.Duration(min(j.expected(), placer.LongTokens))*tokenTime - placer.ReadTime(j.request.PromptTokens)
	}
	if objective := j.route.Objective; objective > 0 {
		latest = min(latest, j.arrived+placer.WaitTime(objective, j.request.PromptTokens))
	}
	return latest
}

// leaveLine ends the wait of a request whose time is over or whose caller has
// left. It may have been placed in the same moment.
func (j *job) leaveLine(w *placer.Waiting[*waiter]) (*registrar.Target, *placer.Reservation, *bluebelldoor.Refusal) {
	j.mu.Lock()
	line := j.lines[j.name]
	waited := line != nil && line.Remove(w)
	j.mu.Unlock()
	if !waited {
		p := <-w.Value.placed
		return p.target, p.reservation, p.refusal
	}
	return nil, nil, nil
}

// awaitRoom sees to it that room is looked for while generations wait.
func (r *Relayer) awaitRoom() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.looking || r.waiting() == 0 {
		return
	}
	r.looking = true
	go r.lookForRoom()
}

func (r *Relayer) lookForRoom() {
	for {
		time.Sleep(roomPoll)
		r.admitWaiting()
		r.mu.Lock()
		if r.waiting() == 0 {
			r.looking = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
	}
}

// waiting counts the generations in all lines. It needs the lock.
func (r *Relayer) waiting() int {
	n := 0
	for _, line := range r.lines {
		n += line.Len()
	}
	return n
}

// admitWaiting sends generations from the lines to targets that have room, and
// refuses those whose time does not suffice to wait.
func (r *Relayer) admitWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for name, line := range r.lines {
		if r.leaving.Load() {
			refuseStreams(line, now)
		}
		line.Send(now, func(w *waiter) placer.Room {
			w.lacks = w.place(now)
			return w.lacks
		})
		for _, w := range line.Overdue(now) {
			w.Value.refuse(w.Value.crowded(line.Len()))
		}
		if line.Len() == 0 {
			delete(r.lines, name)
		}
	}
}

// refuseStreams refuses what would outlast a VM that leaves.
func refuseStreams(line *placer.Line[*waiter], now time.Duration) {
	for _, w := range line.Order(now) {
		if w.Value.job.route.Streamed {
			line.Remove(w)
			w.Value.refuse(bluebelldoor.Refuse(bluebelldoor.Draining, "this VM is leaving").WithRetryAfter(comeBack / 10))
		}
	}
}

// crowded refuses a generation for which no engine has room in its time.
func (w *waiter) crowded(others int) *bluebelldoor.Refusal {
	detail := fmt.Sprintf("no engine has room in its time, the best lacks %s; %d others wait", w.lacks, others)
	return bluebelldoor.Refuse(bluebelldoor.EnginesCrowded, detail).WithRetryAfter(w.job.comeLater())
}

func (w *waiter) refuse(refusal *bluebelldoor.Refusal) { w.placed <- placement{refusal: refusal} }

// place gives the generation a target that has room for it.
func (w *waiter) place(now time.Duration) placer.Room {
	j := w.job
	targets, candidates := j.candidates(now)
	if len(targets) == 0 {
		if left := j.pauseLeft(); left > 0 && now+left <= j.latest() {
			return placer.NoReading
		}
		w.refuse(j.noTarget())
		return placer.HasRoom
	}
	demand := j.demand()
	demand.Limits = placer.NewLimits(!j.long(), j.shortsOf(j.name).Before(j.priority, now))
	choice := j.ledger.Pick(candidates, demand, now, rand.Float64)
	if choice.Index < 0 {
		return max(choice.Lacks, placer.NoReading)
	}
	target := targets[choice.Index]
	w.placed <- placement{target: target, reservation: j.start(target, candidates[choice.Index].Cold, demand, now)}
	j.chosen(target, choice, len(targets), now)
	return placer.HasRoom
}

// comeLater returns when a refused caller may come back.
func (j *job) comeLater() time.Duration {
	return placer.ComeBack(j.left(), j.route.Objective, rand.Float64)
}

package gossiper

import "bluebelldoor"

// spareRemoved bounds the targets on which nothing is left that are kept, beyond
// as many as there are others: peers that lack older changes are told all.
const spareRemoved = 64

// loadLog keeps the VM's own loads with the heartbeat at which each last changed,
// so that a peer is told what it lacks. It is not safe for concurrent use.
type loadLog struct {
	loads   map[string]bluebelldoor.TargetLoad
	changed map[string]uint64
	// complete is the heartbeat from which on all changes are known.
	complete uint64
}

func newLoadLog() *loadLog {
	return &loadLog{loads: map[string]bluebelldoor.TargetLoad{}, changed: map[string]uint64{}}
}

// update notes what the VM has on the targets at a heartbeat.
func (l *loadLog) update(loads []bluebelldoor.TargetLoad, beat uint64) {
	now := make(map[string]bluebelldoor.TargetLoad, len(loads))
	for _, load := range loads {
		now[load.Target] = load
		if l.loads[load.Target] != load {
			l.changed[load.Target] = beat
		}
	}
	for target := range l.loads {
		if _, still := now[target]; !still {
			l.changed[target] = beat
		}
	}
	l.loads = now
	if len(l.changed) <= 2*len(now)+spareRemoved {
		return
	}
	l.complete = beat
	for target := range l.changed {
		if _, still := now[target]; !still {
			delete(l.changed, target)
		}
	}
}

// after returns what a peer lacks that holds the loads of a heartbeat, 0 for none.
func (l *loadLog) after(beat uint64) bluebelldoor.LoadDelta {
	if beat < l.complete {
		beat = 0
	}
	out := bluebelldoor.LoadDelta{After: beat}
	for target, changed := range l.changed {
		load, still := l.loads[target]
		switch {
		case changed <= beat, beat == 0 && !still:
			continue
		case !still:
			load.Target = target
		}
		out.Loads = append(out.Loads, load)
	}
	return out
}

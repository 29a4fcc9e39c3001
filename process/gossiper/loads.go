package gossiper

import "bluebelldoor"

// maxExtraRemoved bounds how many more targets without load than with load the log
// keeps. A peer that lacks older changes gets all loads.
const maxExtraRemoved = 64

// loadLog keeps the VM's own loads with the heartbeat at which each last changed, from
// which it derives deltas for peers. It is not safe for concurrent use.
type loadLog struct {
	loads     map[string]bluebelldoor.TargetLoad
	changedAt map[string]uint64
	// completeSince is the heartbeat after which no changes are missing.
	completeSince uint64
}

func newLoadLog() *loadLog {
	return &loadLog{loads: map[string]bluebelldoor.TargetLoad{}, changedAt: map[string]uint64{}}
}

// update records the VM's loads at a heartbeat.
func (l *loadLog) update(loads []bluebelldoor.TargetLoad, heartbeat uint64) {
	current := make(map[string]bluebelldoor.TargetLoad, len(loads))
	for _, load := range loads {
		current[load.Target] = load
		if l.loads[load.Target] != load {
			l.changedAt[load.Target] = heartbeat
		}
	}
	for target := range l.loads {
		if _, present := current[target]; !present {
			l.changedAt[target] = heartbeat
		}
	}
	l.loads = current
	if len(l.changedAt) <= 2*len(current)+maxExtraRemoved {
		return
	}
	l.completeSince = heartbeat
	for target := range l.changedAt {
		if _, present := current[target]; !present {
			delete(l.changedAt, target)
		}
	}
}

// since returns the changes after a heartbeat, or all loads if it is 0 or older than
// completeSince.
func (l *loadLog) since(heartbeat uint64) bluebelldoor.LoadDelta {
	if heartbeat < l.completeSince {
		heartbeat = 0
	}
	out := bluebelldoor.LoadDelta{After: heartbeat}
	for target, changedAt := range l.changedAt {
		load, present := l.loads[target]
		switch {
		case changedAt <= heartbeat, heartbeat == 0 && !present:
			continue
		case !present:
			load.Target = target
		}
		out.Loads = append(out.Loads, load)
	}
	return out
}

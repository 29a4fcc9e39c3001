package director

import (
	"slices"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/controller"
	"bluebelldoor/process/ranker"
	"bluebelldoor/process/slotter"
	"bluebelldoor/request/admitter"
	"bluebelldoor/request/identifier"
)

// maxEntryAddresses is the maximum number of VM addresses in an entry.
const maxEntryAddresses = 3

// Entry implements bluebelldoor.Front.
func (d *Director) Entry(apiKey, model string) (bluebelldoor.Entry, *bluebelldoor.Refusal) {
	a, refusal := d.account(apiKey)
	if refusal != nil {
		return bluebelldoor.Entry{}, d.recordRefusal("", refusal)
	}
	s := d.control.State()
	if _, known := s.View().Document().ModelTargets(model); model != "" && !known {
		return bluebelldoor.Entry{}, d.recordRefusal("", bluebelldoor.NewRefusal(bluebelldoor.UnknownModel, model))
	}
	names := d.availableVMs(s)
	if len(names) == 0 {
		return bluebelldoor.Entry{}, d.recordRefusal("", bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "no VM takes new callers").WithRetryAfter(retryAfter))
	}
	vmCount := admitter.AccountVMs(a, len(names))
	ranked := ranker.Top("account/"+a.Name(), names, len(names))
	rotate(ranked[:vmCount], ranker.Score(identifier.Nonce(), a.Name()))
	if model != "" && allCold(s, model) {
		holdersFirst(ranked, slotHolders(s, model))
	}
	entry := bluebelldoor.Entry{ValidFor: s.View().Document().Limits().AddressValidFor}
	for _, name := range ranked[:min(maxEntryAddresses, len(ranked))] {
		entry.Addresses = append(entry.Addresses, s.View().List().VM(name).CallerAddress())
	}
	return entry, nil
}

// allCold reports whether no open target of the model is warm.
func allCold(s *controller.State, model string) bool {
	for _, c := range s.Table().Candidates(model) {
		if c.AcceptsWork() && c.Warm {
			return false
		}
	}
	return true
}

// slotHolders returns the VMs that hold a slot of an open target of the model.
func slotHolders(s *controller.State, model string) map[string]bool {
	out := map[string]bool{}
	for _, c := range s.Table().Candidates(model) {
		if !c.AcceptsWork() {
			continue
		}
		for _, name := range slotter.Holders(c.Target, s.View().List()) {
			out[name] = true
		}
	}
	return out
}

// holdersFirst moves the VMs that hold slots to the front, keeping their order.
func holdersFirst(names []string, holders map[string]bool) {
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case holders[a] == holders[b]:
			return 0
		case holders[a]:
			return -1
		default:
			return 1
		}
	})
}

// rotate rotates names by a random offset, which spreads an account's callers over
// its VMs.
func rotate(names []string, random uint64) {
	offset := int(random % uint64(len(names)))
	rotated := append(append([]string(nil), names[offset:]...), names[:offset]...)
	copy(names, rotated)
}

// availableVMs returns the VMs that take new callers, as far as this VM knows.
func (d *Director) availableVMs(s *controller.State) []string {
	var names []string
	if s.View().List() == nil {
		return nil
	}
	now := time.Now()
	for _, vm := range s.View().List().VMs() {
		isSelf := vm.Name() == d.settings.Name()
		switch {
		case vm.Leaving():
		case isSelf && !s.Draining() && s.CheckFresh(now) == nil:
			names = append(names, vm.Name())
		case !isSelf && s.Alive(vm.Name(), now):
			names = append(names, vm.Name())
		}
	}
	return names
}

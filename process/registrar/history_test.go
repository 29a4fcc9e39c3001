package registrar_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

const (
	historyStep  = 100 * time.Millisecond
	historySteps = 400
	// historySettle exceeds the time for which anything of a lost history is retained.
	historySettle = 15 * time.Second
)

// withoutEras is the catalogue as a build without eras reads it.
type withoutEras struct{ *catalogue }

func (c withoutEras) Watch(ctx context.Context, after bluebelldoor.Position, wait time.Duration) (bluebelldoor.CatalogueReply, error) {
	c.mu.Lock()
	after.Era = c.era
	c.mu.Unlock()
	out, err := c.catalogue.Watch(ctx, after, wait)
	return stripEras(out), err
}

func (c withoutEras) Read(ctx context.Context) (bluebelldoor.CatalogueReply, error) {
	out, err := c.catalogue.Read(ctx)
	return stripEras(out), err
}

func stripEras(p bluebelldoor.CatalogueReply) bluebelldoor.CatalogueReply {
	p.Era = 0
	for i := range p.Records {
		p.Records[i].Era = 0
	}
	return p
}

// stripDelta returns a delta as a build without eras sends and understands it.
func stripDelta(d bluebelldoor.RecordDelta) bluebelldoor.RecordDelta {
	out := bluebelldoor.RecordDelta{Base: d.Base, Revision: d.Revision, EvidenceAgeMs: d.EvidenceAgeMs, WantFull: d.WantFull, Leaving: d.Leaving}
	for _, r := range d.Records {
		r.Era = 0
		out.Records = append(out.Records, r)
	}
	return out
}

// historyVM is a VM of a random history, and what its present process has seen.
type historyVM struct {
	*vm
	// old is set for a build without eras.
	old bool
	// link is the VM's link to the catalogue. isolated is set while it has none to peers.
	link     *linkedCatalogue
	isolated bool
	stop     func()
	// values is nil if messages hold all values.
	values *keeper
	// version is the highest routing version that the process had in force, and ended the
	// incarnations that it knew to be draining or gone for good.
	version uint64
	ended   map[string]bool
	// judged is the number of closed targets that have been checked.
	judged int
}

// history is a random history of a catalogue and the VMs that read it.
type history struct {
	t      *testing.T
	random *rand.Rand
	// large makes values too large for messages.
	large bool
	store *catalogue
	vms   []*historyVM
	// truth holds what was last acknowledged to operators and targets, by key.
	truth map[string]string
	// version is the last version that the operators published.
	version int
	targets int
	copied  *backup
	copyAge int
	// slow makes links delay replies of the store for longer than peers' messages take.
	slow bool
	// rewriteIn is in how many steps what a restore lost is written again.
	rewriteIn int
	log       []string
}

func (h *history) note(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf(format, args...))
}

// pad makes values so large that messages hold a reference to a routing, and a few targets.
func (h *history) pad(key, value string) string {
	switch {
	case !h.large || value == "":
		return value
	case strings.HasPrefix(key, "t/"):
		return value + "\n" + strings.Repeat("x", 1900)
	}
	return value + "\n" + strings.Repeat(key+value, 1000)
}

// deliver delivers the values that a VM wants and another holds, some of them.
func (h *history) deliver(from, to *historyVM) {
	if from.values == nil || to.values == nil {
		return
	}
	for _, reference := range from.values.missing() {
		if value := to.values.Value(reference.Digest); value != nil && h.random.IntN(3) > 0 {
			from.values.Hold(value)
			from.Deliver(h.t.Context(), reference, value)
		}
	}
}

func (h *history) put(key, value string) {
	h.truth[key] = value
	h.store.put(key, h.pad(key, value))
	h.note("put %s=%q at %d/%d", key, value, h.store.era, h.store.revision)
}

// startVM starts the process of a VM, anew if it has run before.
func (h *history) startVM(i int) {
	v := h.vms[i]
	if v.stop != nil {
		v.stop()
	}
	cut := v.link != nil && v.link.cut.Load()
	v.link = &linkedCatalogue{Catalogue: h.store}
	if v.old {
		v.link.Catalogue = withoutEras{h.store}
	}
	v.link.cut.Store(cut)
	h.slowDown(v)
	var options []registrar.Option
	if v.values = nil; h.large && !v.old {
		v.values = newKeeper()
		options = append(options, registrar.WithValues(v.values))
	}
	v.vm, v.stop = startStoppable(v.link, i == 0, options...)
	v.version, v.ended, v.judged = 0, map[string]bool{}, 0
}

// slowDown draws how long replies of the store to a VM take.
func (h *history) slowDown(v *historyVM) {
	if h.slow && h.random.IntN(2) == 0 {
		v.link.delay.Store(int64(time.Duration(h.random.IntN(15)) * historyStep))
		return
	}
	v.link.delay.Store(0)
}

// targetsIn returns the keys of the targets that are in a state.
func (h *history) targetsIn(state string) []string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(h.truth)) {
		if strings.HasPrefix(key, "t/") && strings.HasPrefix(h.truth[key], state) {
			out = append(out, key)
		}
	}
	return out
}

// changeTarget starts, drains, ends or restarts a target. Each start is a new incarnation.
func (h *history) changeTarget() {
	ready, draining := h.targetsIn("ready"), h.targetsIn("draining")
	h.targets++
	switch n := h.random.IntN(5); {
	case n == 0 && len(draining) > 0:
		h.put(draining[h.random.IntN(len(draining))], "")
	case n == 1 && len(ready) > 2:
		key := ready[h.random.IntN(len(ready))]
		h.put(key, strings.Replace(h.truth[key], "ready", "draining", 1))
	case n == 2 && len(ready) > 2:
		h.put(ready[h.random.IntN(len(ready))], "")
	case n == 3 && len(ready) > 0:
		h.put(ready[h.random.IntN(len(ready))], fmt.Sprintf("ready/%d", h.targets))
	default:
		h.put(fmt.Sprintf("t/%d", h.random.IntN(8)), fmt.Sprintf("ready/%d", h.targets))
	}
}

// act makes one random change.
func (h *history) act(old bool) {
	switch n := h.random.IntN(100); {
	case h.rewriteIn > 0 || n < 55:
		// Nothing: what a restore lost is written again before anything new.
	case n < 75:
		h.changeTarget()
	case n < 83:
		h.version++
		h.put("config", fmt.Sprintf("v%d", h.version))
	case n < 86:
		h.put("out/dc", []string{"", "out"}[h.random.IntN(2)])
	case n < 90:
		v := h.vms[h.random.IntN(len(h.vms))]
		v.link.cut.Store(h.random.IntN(2) == 0)
		h.slowDown(v)
	case n < 93:
		v := h.vms[h.random.IntN(len(h.vms))]
		v.isolated = h.random.IntN(2) == 0
	case n < 95:
		i := h.random.IntN(len(h.vms))
		h.note("VM %d restarts", i)
		h.startVM(i)
	case h.copied == nil:
		b := h.store.backUp()
		h.copied, h.copyAge = &b, 0
		h.note("copy at %d/%d", h.store.era, b.revision)
	case !old || h.copyAge > 5:
		h.restore()
	}
}

// restore returns the store to the copy after it has been away for a moment.
func (h *history) restore() {
	copied := *h.copied
	h.copied = nil
	h.store.fail(errors.New("away"))
	for range h.random.IntN(15) {
		h.step()
	}
	h.store.restore(copied)
	h.store.fail(nil)
	h.note("restored: %d/%d", h.store.era, h.store.revision)
	for range h.random.IntN(20) {
		h.store.put("other", "unrelated")
	}
	h.rewriteIn = 1 + h.random.IntN(25)
}

// rewrite writes again what a restore has lost.
func (h *history) rewrite() {
	for _, key := range slices.Sorted(maps.Keys(h.truth)) {
		h.store.mu.Lock()
		held, value := h.store.records[key], h.truth[key]
		h.store.mu.Unlock()
		if string(held.Value) != h.pad(key, value) && (value != "" || !held.Removed) {
			h.put(key, value)
		}
	}
}

// step lets time pass, with exchanges between random VMs, some of which are lost, and
// checks every VM.
func (h *history) step() {
	time.Sleep(historyStep)
	synctest.Wait()
	if h.copyAge++; h.copyAge > 60 {
		h.copied = nil
	}
	if h.rewriteIn > 0 {
		if h.rewriteIn--; h.rewriteIn == 0 {
			h.rewrite()
		}
	}
	for _, from := range h.vms {
		to := h.vms[h.random.IntN(len(h.vms))]
		if from != to && !from.isolated && !to.isolated && h.random.IntN(10) > 0 {
			h.exchange(from, to)
		}
	}
	for i, v := range h.vms {
		h.check(i, v)
	}
}

// exchange is one message from a VM to another and its reply, which may be lost.
func (h *history) exchange(from, to *historyVM) {
	strip := func(d bluebelldoor.RecordDelta, to *historyVM, from *historyVM) bluebelldoor.RecordDelta {
		if from.old || to.old {
			return stripDelta(d)
		}
		return d
	}
	sentAt := from.clock.Now()
	held := to.Position()
	h.deliver(from, to)
	request := strip(from.Delta(h.t.Context(), held, to.values != nil, nil), to, from)
	to.ApplyDelta(h.t.Context(), request, 0, false)
	reply := strip(to.Delta(h.t.Context(), request.Position(), false, &request), from, to)
	if h.random.IntN(10) > 0 {
		from.ApplyDelta(h.t.Context(), reply, sentAt, true)
	}
}

// check checks that nothing goes back on a VM: neither the version of its routing, nor a
// target that it knew to have left.
func (h *history) check(i int, v *historyVM) {
	if v.old {
		return
	}
	if routing := v.View().Routing(); routing != nil {
		h.assertf(routing.Version() >= v.version, "VM %d: routing %d after %d", i, routing.Version(), v.version)
		v.version = routing.Version()
	}
	for key, value := range h.truth {
		id := strings.TrimPrefix(key, "t/")
		t := v.View().Target(id)
		if t != nil && !t.Leaving && !t.Lapsed {
			incarnation := fmt.Sprintf("%s/%d", id, t.StartedAt)
			h.assertf(!v.ended[incarnation], "VM %d: %s is in use again", i, incarnation)
		}
		if t != nil && t.Leaving && value == fmt.Sprintf("draining/%d", t.StartedAt) {
			v.ended[fmt.Sprintf("%s/%d", id, t.StartedAt)] = true
		}
	}
	closed := v.closedTargets()
	for _, incarnation := range closed[v.judged:] {
		// A target that lives may be closed, as a lost history may be all that named it.
		// It may register anew.
		id, startedAt, _ := strings.Cut(incarnation, "/")
		if h.truth["t/"+id] != "ready/"+startedAt && !v.hasLapsed(incarnation) {
			v.ended[incarnation] = true
		}
	}
	v.judged = len(closed)
}

func (h *history) assertf(ok bool, format string, args ...any) {
	if !ok {
		h.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(h.log, "\n"))
	}
}

// checkSettled checks that every VM has what the store holds.
func (h *history) checkSettled() {
	for i, v := range h.vms {
		if v.old {
			continue
		}
		h.assertf(h.version == 0 || v.View().Routing() != nil && v.View().Routing().Version() == uint64(h.version), "VM %d: version %d not in force", i, h.version)
		h.assertf(v.View().OutOfService("dc") == (h.truth["out/dc"] == "out"), "VM %d: out of service %v", i, v.View().OutOfService("dc"))
		for key, value := range h.truth {
			if id, ok := strings.CutPrefix(key, "t/"); ok {
				t := v.View().Target(id)
				open := t != nil && !t.Leaving && !t.Lapsed && fmt.Sprintf("ready/%d", t.StartedAt) == value
				h.assertf(open == strings.HasPrefix(value, "ready"), "VM %d: %s is %q, open %v", i, key, value, open)
			}
		}
	}
}

// TestRestoreHistories plays random histories of restores, cuts and restarts against a
// plain record of what was acknowledged: nothing that a VM had in force goes back, and all
// VMs end with what the store holds. One history is replayed by BLUEBELLDOOR_SEED, more are
// played by BLUEBELLDOOR_HISTORIES.
func TestRestoreHistories(t *testing.T) {
	seeds := historySeeds(t)
	for name, c := range map[string]struct {
		old, large, slow bool
		vms              int
	}{
		"one VM":                               {false, false, false, 1},
		"four VMs":                             {false, false, false, 4},
		"a build before eras":                  {true, false, false, 4},
		"four VMs, large values":               {false, true, false, 4},
		"a build before eras and large values": {true, true, false, 4},
		// Replies of the store race with peers' messages: an older one may come last.
		"late replies":                      {false, false, true, 4},
		"late replies, large values":        {false, true, true, 4},
		"late replies, a build before eras": {true, false, true, 4},
	} {
		t.Run(name, func(t *testing.T) {
			for _, seed := range seeds {
				t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playHistory(t, seed, c.vms, c.old, c.large, c.slow) })
				})
			}
		})
	}
}

func historySeeds(t *testing.T) []uint64 {
	if text := os.Getenv("BLUEBELLDOOR_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		return []uint64{seed}
	}
	var out []uint64
	for seed := range envInt(t, "BLUEBELLDOOR_HISTORIES", 12) {
		out = append(out, uint64(seed+1))
	}
	return out
}

// envInt returns the number in an environment variable, or a default.
func envInt(t *testing.T, name string, n int) int {
	if text := os.Getenv(name); text != "" {
		var err error
		n, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	return n
}

func playHistory(t *testing.T, seed uint64, vms int, old, large, slow bool) {
	h := &history{t: t, large: large, slow: slow, random: rand.New(rand.NewPCG(seed, 7)), store: newCatalogue(), truth: map[string]string{}}
	h.store.era = 1
	for range vms {
		h.vms = append(h.vms, &historyVM{})
	}
	h.vms[vms-1].old = old
	for i := range h.vms {
		h.startVM(i)
	}
	defer func() {
		for _, v := range h.vms {
			v.stop()
		}
	}()
	for range historySteps {
		h.act(old)
		h.step()
	}
	for _, v := range h.vms {
		v.link.cut.Store(false)
		v.link.delay.Store(0)
		v.isolated = false
	}
	for range historySettle / historyStep {
		h.step()
	}
	h.checkSettled()
}

package controller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/slotter"
	"bluebelldoor/version/parser"
	"bluebelldoor/version/viewer"
)

// documentText returns a document of the given size.
func documentText(revision, targets, accounts int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"revision": %d, "dataCentres": [`, revision)
	for i := range 16 {
		fmt.Fprintf(&b, `{"name":"dc-%d","region":"r-%d","inService":true},`, i, i%5)
	}
	b.WriteString(`], "models": [`)
	for i := range 18 {
		fmt.Fprintf(&b, `"m-%d",`, i)
	}
	b.WriteString(`], "classes": [{"name":"report","priority":1}], "clientAccounts": [`)
	for i := range accounts {
		sum := sha256.Sum256(fmt.Append(nil, i))
		fmt.Fprintf(&b, `{"name":"a-%d","keySha256":"%s","class":"report"},`, i, hex.EncodeToString(sum[:]))
	}
	b.WriteString(`], "targets": [`)
	for i := range targets {
		fmt.Fprintf(&b, `{"name":"e-%d","kind":"engine","address":"10.%d.%d.1:80","dataCentre":"dc-%d","models":["m-%d"],"memoryTokens":160000,"maxRunning":64,"coldSlots":2},`,
			i, i/250, i%250, i%16, i%18)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

func vmList(n int) *bluebelldoor.VMList {
	vms := make([]*bluebelldoor.VM, n)
	for i := range vms {
		vms[i] = bluebelldoor.NewVM(bluebelldoor.VMSpec{
			Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%16),
			CallerAddress: fmt.Sprintf("10.200.%d.%d:8100", i/250, i%250), PeerAddress: fmt.Sprintf("10.200.%d.%d:8101", i/250, i%250),
		})
	}
	return bluebelldoor.NewVMList(1, vms)
}

func newFilledController(b testing.TB, vms, targets, accounts int) *Controller {
	b.Helper()
	settings := bluebelldoor.NewSettings(bluebelldoor.SettingsSpec{Name: "vm-0", DataCentre: "dc-0"})
	c := New(settings, "i", Sources{}, hclog.NewNullLogger(), recorder.NewMetrics())
	d, err := parser.Document("document", documentText(1, targets, accounts))
	assert.NilError(b, err)
	c.viewer.Adopt(d)
	c.viewer.AdoptList(vmList(vms))
	for _, t := range d.Targets() {
		c.reports[t.Name()] = bluebelldoor.LoadReport{Received: time.Now(), Warm: true, Finished: 9}
	}
	c.assignSlots()
	c.publish(time.Now())
	return c
}

func BenchmarkPublish(b *testing.B) {
	for _, targets := range []int{20, 200, 1400} {
		b.Run(fmt.Sprint("targets-", targets), func(b *testing.B) {
			c := newFilledController(b, 410, targets, 10)
			b.ReportAllocs()
			for b.Loop() {
				c.publish(time.Now())
			}
		})
	}
}

func BenchmarkAssignSlots(b *testing.B) {
	for _, vms := range []int{8, 32, 128, 410} {
		b.Run(fmt.Sprint("vms-", vms), func(b *testing.B) {
			c := newFilledController(b, vms, 1400, 10)
			for b.Loop() {
				s := slotter.New("vm-0")
				s.Assign(slotter.EngineResources(c.viewer.View().Document()), time.Second, c.viewer.View().List(), time.Now())
			}
		})
	}
}

func BenchmarkWatchers(b *testing.B) {
	for _, vms := range []int{8, 32, 128, 410} {
		b.Run(fmt.Sprint("vms-", vms), func(b *testing.B) {
			l := vmList(vms)
			for b.Loop() {
				b.ReportMetric(float64(len(viewer.Watchers(l))), "watchers")
			}
		})
	}
}

func BenchmarkPeerEvidence(b *testing.B) {
	for _, vms := range []int{8, 32, 128, 410} {
		b.Run(fmt.Sprint("vms-", vms), func(b *testing.B) {
			c := newFilledController(b, vms, 20, 10)
			now := time.Now()
			for b.Loop() {
				c.viewer.RecordPeer("vm-1", viewer.PeerView{Revision: 1, ListVersion: 1, HasConfirmed: true}, now)
			}
		})
	}
}

func BenchmarkAccountLookup(b *testing.B) {
	for _, accounts := range []int{10, 1000, 5000} {
		b.Run(fmt.Sprint("accounts-", accounts), func(b *testing.B) {
			d, err := parser.Document("document", documentText(1, 20, accounts))
			assert.NilError(b, err)
			key := d.Accounts()[accounts/2].KeySHA256()
			for b.Loop() {
				d.AccountByKey(key)
			}
		})
	}
}

func BenchmarkParse(b *testing.B) {
	for _, size := range [][2]int{{20, 10}, {200, 1000}, {1400, 4000}} {
		b.Run(fmt.Sprintf("targets-%d-accounts-%d", size[0], size[1]), func(b *testing.B) {
			data := documentText(1, size[0], size[1])
			b.ReportAllocs()
			for b.Loop() {
				_, err := parser.Document("document", data)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data)), "document-bytes")
		})
	}
}

// BenchmarkMessageBytes reports the sizes of messages between VMs.
func BenchmarkMessageBytes(b *testing.B) {
	size := func(m any) float64 {
		data, err := cbor.Marshal(m)
		assert.NilError(b, err)
		return float64(len(data))
	}
	for _, vms := range []int{8, 32, 128, 410} {
		b.Run(fmt.Sprint("vms-", vms), func(b *testing.B) {
			c := newFilledController(b, vms, 20, 10)
			for b.Loop() {
				c.Answer(&bluebelldoor.StateRequest{Revision: 1, ListVersion: 1})
			}
			b.ReportMetric(size(&bluebelldoor.StateRequest{From: "vm-100", Revision: 1 << 20, ListVersion: 1 << 20}), "request-bytes")
			b.ReportMetric(size(c.Answer(&bluebelldoor.StateRequest{Revision: 1, ListVersion: 1})), "reply-bytes")
			b.ReportMetric(size(messageFromList(c.viewer.View().List())), "list-bytes")
		})
	}
}

// BenchmarkMemory reports the heap used by the control state of one VM.
func BenchmarkMemory(b *testing.B) {
	for _, size := range [][3]int{{8, 20, 10}, {128, 200, 1000}, {410, 1400, 4000}} {
		b.Run(fmt.Sprintf("vms-%d-targets-%d-accounts-%d", size[0], size[1], size[2]), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newFilledController(b, size[0], size[1], size[2])
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
		})
	}
}

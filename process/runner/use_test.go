package runner_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRelayAccountUse guards against VMs that don't tell each other what client accounts use.
func TestRelayAccountUse(t *testing.T) {
	f := startRelays(t, 2)
	engine := f.targets.Add("engine-1", "engine", "dc-0")
	defer engine.Stop()
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	metrics := func(vm *relayVM) string {
		response, err := http.Get("http://" + vm.settings.OpsAddress + "/metrics")
		assert.NilError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return string(body)
	}
	assert.Assert(t, strings.Contains(metrics(f.vms[1]), "bluebelldoor_accounts 0"))
	got := f.vms[0].send(t, "POST", streamPath, "uses", map[string]string{"Token-Count": "4000,30", "Length-Hint": "30", "Deadline-Ms": "20000"})
	assert.Equal(t, got.status, 200)
	for _, vm := range f.vms {
		await(t, "all VMs know the use of the account", func() bool { return strings.Contains(metrics(vm), "bluebelldoor_accounts 1") })
	}
}

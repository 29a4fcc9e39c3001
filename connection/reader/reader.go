// Package reader is a read-only client of the platform: the configuration
// service and the VM list. It makes no decisions based on what it reads.
package reader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	dialTimeout       = time.Second
	responseMargin    = 2 * time.Second
	statusOK          = 200
	statusNotModified = 304
)

// Reader reads from the platform on behalf of one VM. It is safe for
// concurrent use.
type Reader struct {
	vm                   string
	configurationAddress string
	vmListAddress        string
	client               *client.Client
}

var (
	_ bluebelldoor.ConfigurationReader = (*Reader)(nil)
	_ bluebelldoor.VMLister            = (*Reader)(nil)
)

// New returns a reader for the VM named vm, and a clean-up function.
func New(vm, configurationService, vmList string) (*Reader, func(), error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout))
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform client")
	}
	r := &Reader{vm: vm, configurationAddress: configurationService, vmListAddress: vmList, client: c}
	return r, c.CloseIdleConnections, nil
}

func (r *Reader) get(ctx context.Context, uri string, wait time.Duration) (*protocol.Response, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.SetMethod("GET")
	req.SetRequestURI(uri)
	if err := r.client.DoTimeout(ctx, req, resp, wait+responseMargin); err != nil {
		return nil, errors.Wrap(err, "read platform")
	}
	return resp, nil
}

// Read implements bluebelldoor.ConfigurationReader.
func (r *Reader) Read(ctx context.Context, after uint64, wait time.Duration) (bluebelldoor.Publication, error) {
	var p bluebelldoor.Publication
	uri := fmt.Sprintf("http://%s/v1/document?vm=%s&after=%d&waitMs=%d", r.configurationAddress, url.QueryEscape(r.vm), after, wait.Milliseconds())
	resp, err := r.get(ctx, uri, wait)
	if err != nil {
		return p, err
	}
	if status := resp.StatusCode(); status != statusOK && status != statusNotModified {
		return p, errors.Errorf("configuration service: status %d", status)
	}
	p.Revision, err = strconv.ParseUint(string(resp.Header.Peek("X-Revision")), 10, 64)
	if err != nil {
		return p, errors.Wrap(err, "configuration service: revision")
	}
	if resp.StatusCode() == statusOK {
		p.Text = append([]byte(nil), resp.Body()...)
	}
	return p, nil
}

// List implements bluebelldoor.VMLister.
func (r *Reader) List(ctx context.Context) (*bluebelldoor.VMList, error) {
	resp, err := r.get(ctx, fmt.Sprintf("http://%s/v1/vms?vm=%s", r.vmListAddress, url.QueryEscape(r.vm)), 0)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode() != statusOK {
		return nil, errors.Errorf("VM list: status %d", resp.StatusCode())
	}
	var wire struct {
		Version uint64                `json:"version"`
		VMs     []bluebelldoor.VMSpec `json:"vms"`
	}
	if err := json.Unmarshal(resp.Body(), &wire); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	vms := make([]*bluebelldoor.VM, len(wire.VMs))
	for i, spec := range wire.VMs {
		vms[i] = bluebelldoor.NewVM(spec)
	}
	return bluebelldoor.NewVMList(wire.Version, vms), nil
}

package timer

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// useWeight is the weight of the newest figure in a Meter's mean.
const useWeight = 0.2

// Meter tells how much processor time the process uses. It is not safe for
// concurrent use.
type Meter struct {
	at   time.Duration
	used time.Duration
	mean float64
}

// Cores returns the mean processor time of late, in cores, at a time of the
// VM's clock. It is called now and then, at least a tenth of a second apart.
func (m *Meter) Cores(now time.Duration) (float64, error) {
	if m.at > 0 && now-m.at < 100*time.Millisecond {
		return m.mean, nil
	}
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return m.mean, errors.Wrap(err, "read processor time")
	}
	used := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	if m.at > 0 && now > m.at {
		m.mean += useWeight * (float64(used-m.used)/float64(now-m.at) - m.mean)
	}
	m.at, m.used = now, used
	return m.mean, nil
}

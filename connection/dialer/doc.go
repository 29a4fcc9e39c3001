// Package dialer reaches targets over HTTP: model engines with server-sent
// events and application runners. Each request opens its own connection and
// closes it afterwards, so that a late response can't be read by another
// request.
//
// It neither retries nor chooses targets.
package dialer

package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// uploadEvery is how rarely a caller's request is an upload, one in so many. The ID of one ends with
// uploadSuffix.
const (
	uploadEvery  = 8
	uploadSuffix = "-upload"
)

// bodyOf returns the body of a request. No two uploads are alike: a request that many targets have
// failed is kept away from others.
func bodyOf(id string) string {
	if !strings.HasSuffix(id, uploadSuffix) {
		return "body"
	}
	return strings.Repeat(" ", uploadBytes-len(id)) + id
}

// runCaller sends requests as one caller, which keeps its connection until it
// breaks and then gets another address from the directory.
func (s *soak) runCaller(ctx context.Context, caller string, r *rand.Rand, keys ...string) {
	var conn *connection
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			conn = s.connect(r)
			if conn == nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		path := []string{"safe", "unsafe", "stream", "resume"}[r.IntN(4)]
		id := fmt.Sprintf("%s-%d", caller, n)
		if n%uploadEvery == uploadEvery-1 {
			id += uploadSuffix
		}
		o := s.send(conn, conn.address, path, id, keys[r.IntN(len(keys))], soakDeadline)
		s.mu.Lock()
		s.outcomes = append(s.outcomes, o)
		s.mu.Unlock()
		if conn.broken {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(o.retryAfter)
		if o.status == http.StatusUnauthorized {
			time.Sleep(20 * time.Millisecond) // lest refusals take the processor from the other callers
		}
	}
}

// ask asks a VM for its status, metrics and readiness all the time, also while it starts.
func (v *soakVM) ask(ctx context.Context) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		url := []string{v.ops + "/status", v.ops + "/metrics", v.ready + "/-/ready"}[n%3]
		if response, err := client.Get("http://" + url); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		time.Sleep(3 * time.Millisecond)
	}
}

type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	broken  bool
}

// connect resolves an address through a directory and connects to it.
func (s *soak) connect(r *rand.Rand) *connection {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.vms[r.IntN(len(s.vms))].directory + "/-/resolve?name=" + soakHost + "&zone=" + dataCentre(r.IntN(3)))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var entry struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&entry) != nil || len(entry.Addresses) == 0 {
		return nil
	}
	return dialVM(entry.Addresses[r.IntN(len(entry.Addresses))])
}

func dialVM(address string) *connection {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	return &connection{Conn: conn, address: address, reader: bufio.NewReader(conn)}
}

// send sends a request, over a new connection if conn is nil. A stream has 60 events unless
// header lines, which end with CRLF, say otherwise.
func (s *soak) send(conn *connection, address, path, id, key string, within time.Duration, header ...string) outcome {
	o := outcome{id: id, path: path, key: key, sent: time.Now()}
	if conn == nil {
		if conn = dialVM(address); conn == nil {
			return o
		}
		defer conn.Close()
	}
	conn.broken = true
	if conn.SetDeadline(time.Now().Add(within+2*time.Second)) != nil {
		return o
	}
	lines := strings.Join(header, "")
	if lines == "" && (path == "stream" || path == "resume") {
		lines = "Token-Count: 50,60\r\n"
	}
	if !strings.Contains(path, "/") {
		path += "/x"
	}
	request := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		path, soakHost, id, key, within.Milliseconds(), lines, len(bodyOf(id)), bodyOf(id))
	if _, err := io.WriteString(conn, request); err != nil {
		return o
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return o
	}
	body, err := io.ReadAll(response.Body)
	o.status, o.body, o.complete, o.serverStamp = response.StatusCode, string(body), err == nil, response.Header.Get("Server-Stamp")
	conn.broken = err != nil || response.Close
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return o
}
